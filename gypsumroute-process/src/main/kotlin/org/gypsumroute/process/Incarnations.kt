package org.gypsumroute.process

import java.security.SecureRandom
import java.util.HexFormat
import org.gypsumroute.api.IncarnationId

/** A fresh incarnation; random, since hosts have no disk to count on. */
fun newIncarnation(): IncarnationId = IncarnationId(randomHex(INCARNATION_BYTES))

/** A fresh secret of one process. */
fun newSecret(): String = randomHex(SECRET_BYTES)

private fun randomHex(length: Int): String {
    val bytes = ByteArray(length)
    SecureRandom().nextBytes(bytes)
    return HexFormat.of().formatHex(bytes)
}

private const val INCARNATION_BYTES = 8
private const val SECRET_BYTES = 32
