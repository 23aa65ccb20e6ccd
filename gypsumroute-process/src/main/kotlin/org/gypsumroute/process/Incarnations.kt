package org.gypsumroute.process

import java.security.SecureRandom
import java.util.HexFormat
import org.gypsumroute.api.IncarnationId

/** Creates an incarnation. It is random, because no disk can be relied on to keep a counter. */
fun newIncarnation(): IncarnationId = IncarnationId(randomHex(INCARNATION_BYTES))

/** Creates a secret for one process: 32 random bytes in hexadecimal. */
fun newSecret(): String = randomHex(SECRET_BYTES)

private fun randomHex(length: Int): String {
    val bytes = ByteArray(length)
    SecureRandom().nextBytes(bytes)
    return HexFormat.of().formatHex(bytes)
}

private const val INCARNATION_BYTES = 8
private const val SECRET_BYTES = 32
