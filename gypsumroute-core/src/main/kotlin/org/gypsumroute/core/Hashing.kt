/*
 * Hash functions for choices on which processes must agree, such as rendezvous hashing: FNV-1a for
 * texts and the finalizer of SplitMix64 for bits.
 */
package org.gypsumroute.core

private const val FNV_OFFSET_BASIS = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_MULTIPLIER_1 = -0x40a7b892e31b1a47L
private const val MIX_MULTIPLIER_2 = -0x6b2fb644ecceee15L
private const val MIX_SHIFT_1 = 30
private const val MIX_SHIFT_2 = 27
private const val MIX_SHIFT_3 = 31
private const val UNUSED_LOW_BITS = 11
private const val MANTISSA_VALUES = 9007199254740992.0

/** 64-bit hash of a text; the same in all processes. */
internal fun stableHash(text: String): Long = mixBits(
    text.fold(FNV_OFFSET_BASIS) { hash, character ->
        (hash xor character.code.toLong()) *
            FNV_PRIME
    }
)

/** Mixes [value] so that every bit of it affects all bits of the result. */
internal fun mixBits(value: Long): Long {
    var mixed = (value xor (value ushr MIX_SHIFT_1)) * MIX_MULTIPLIER_1
    mixed = (mixed xor (mixed ushr MIX_SHIFT_2)) * MIX_MULTIPLIER_2
    return mixed xor (mixed ushr MIX_SHIFT_3)
}

/** Rendezvous weight of [candidate] for [key]; the candidate with the highest weight is chosen. */
internal fun rendezvousWeight(key: String, candidate: String): Long =
    rendezvousWeightOfHashes(stableHash(key), stableHash(candidate))

/** Rendezvous weight from the hashes of key and candidate. */
internal fun rendezvousWeightOfHashes(key: Long, candidate: Long): Long =
    mixBits(key xor candidate.rotateLeft(1))

/** Maps random bits to a number from 0 (inclusive) to 1 (exclusive). */
internal fun unitInterval(entropy: Long): Double =
    (mixBits(entropy) ushr UNUSED_LOW_BITS) / MANTISSA_VALUES
