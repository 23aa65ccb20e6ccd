package org.gypsumroute.process

import java.security.SecureRandom
import java.util.HexFormat
import org.gypsumroute.api.IncarnationId

/** A fresh incarnation; random, since hosts have no disk to count on. */
fun newIncarnation(): IncarnationId {
    val bytes = ByteArray(INCARNATION_BYTES)
    SecureRandom().nextBytes(bytes)
    return IncarnationId(HexFormat.of().formatHex(bytes))
}

private const val INCARNATION_BYTES = 8
