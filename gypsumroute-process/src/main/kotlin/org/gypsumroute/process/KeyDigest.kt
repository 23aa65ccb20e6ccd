package org.gypsumroute.process

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Returns the SHA-256 digest of a caller's key in lowercase hexadecimal. State and logs contain
 * this digest instead of the key.
 */
fun keyDigest(key: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
