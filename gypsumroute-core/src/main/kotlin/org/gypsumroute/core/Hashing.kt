/*
 * Hash functions for choices on which processes have to agree, such as rendezvous hashing.
 */
package org.gypsumroute.core

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_FIRST = -0x40a7b892e31b1a47L
private const val MIX_SECOND = -0x6b2fb644ecceee15L
private const val SHIFT_FIRST = 30
private const val SHIFT_SECOND = 27
private const val SHIFT_THIRD = 31
private const val MANTISSA_SHIFT = 11
private const val MANTISSA_RANGE = 9007199254740992.0

/** 64-bit hash of a text; equal in all processes. */
internal fun stableHash(text: String): Long = mixBits(
    text.fold(FNV_OFFSET) { hash, character ->
        (hash xor character.code.toLong()) *
            FNV_PRIME
    }
)

/** Spreads the bits of [value] over the whole result. */
internal fun mixBits(value: Long): Long {
    var mixed = (value xor (value ushr SHIFT_FIRST)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr SHIFT_SECOND)) * MIX_SECOND
    return mixed xor (mixed ushr SHIFT_THIRD)
}

/** Weight of [candidate] for [key]; the candidate with the highest weight wins. */
internal fun rendezvousWeight(key: String, candidate: String): Long =
    pairWeight(stableHash(key), stableHash(candidate))

/** Rendezvous weight from hashes computed before. */
internal fun pairWeight(key: Long, candidate: Long): Long = mixBits(key xor candidate.rotateLeft(1))

/** Maps random bits to a number from 0 (included) to 1 (excluded). */
internal fun unitInterval(entropy: Long): Double =
    (mixBits(entropy) ushr MANTISSA_SHIFT) / MANTISSA_RANGE
