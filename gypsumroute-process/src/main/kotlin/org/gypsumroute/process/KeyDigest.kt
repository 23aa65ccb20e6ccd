package org.gypsumroute.process

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 of a caller's key in lowercase hexadecimal; state and logs hold this, not the key. */
fun keyDigest(key: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
