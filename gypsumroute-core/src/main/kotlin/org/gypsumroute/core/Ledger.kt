package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/**
 * What the endpoint's capacity is reserved for.
 *
 * The sums are kept with the reservations: [memoryByClass] and [slotsByClass] by length class, [prefilling] the
 * prompt tokens that are or may soon be in prefill, [openedPromptTokens] the prompt tokens ever handed to the
 * engine, [groupLeases] the number of leases that belong to groups.
 */
data class Ledger(
    val reservations: PersistentMap<LeaseId, Reservation> = persistentMapOf(),
    val handles: PersistentMap<HandleId, LeaseId> = persistentMapOf(),
    val memoryByClass: PersistentMap<Int, Tokens> = persistentMapOf(),
    val slotsByClass: PersistentMap<Int, Int> = persistentMapOf(),
    val prefillingTokens: Tokens = Tokens.ZERO,
    val openedPromptTokens: Long = 0,
    val groupLeases: Int = 0
) {
    /** All memory reserved. */
    val reservedMemory: Tokens get() = memoryFromClass(0)

    /** All slots taken. */
    val slotsInUse: Int get() = slotsFromClass(0)

    operator fun get(lease: LeaseId): Reservation? = reservations[lease]

    /** Memory reserved by the class at [index] and longer ones. */
    fun memoryFromClass(index: Int): Tokens =
        Tokens(memoryByClass.entries.sumOf { if (it.key >= index) it.value.count else 0L })

    /** Slots taken by the class at [index] and longer ones. */
    fun slotsFromClass(index: Int): Int = slotsByClass.entries.sumOf { if (it.key >= index) it.value else 0 }

    /** Adds a reservation or replaces the one of the same lease. */
    fun put(reservation: Reservation): Ledger {
        val handles = if (reservation.handle == null) {
            handles
        } else {
            handles.put(reservation.handle, reservation.lease)
        }
        return remove(reservation.lease).withCountersChangedBy(reservation, 1).copy(
            reservations = reservations.put(reservation.lease, reservation),
            handles = handles
        )
    }

    /** Frees the reservation of a lease. */
    fun remove(lease: LeaseId): Ledger {
        val reservation = reservations[lease] ?: return this
        return withCountersChangedBy(reservation, -1).copy(
            reservations = reservations.remove(lease),
            handles = reservation.handle?.let { handles.remove(it) } ?: handles
        )
    }

    private fun withCountersChangedBy(reservation: Reservation, sign: Int): Ledger {
        val index = reservation.lengthClass
        val tokens = (memoryByClass[index]?.count ?: 0) + sign * reservation.tokens.count
        val taken = (slotsByClass[index] ?: 0) + if (reservation.occupiesSlot) sign else 0
        val prefill = if (reservation.prefilling) sign * reservation.prompt.count else 0
        return copy(
            memoryByClass = memoryByClass.put(index, Tokens(tokens)),
            slotsByClass = slotsByClass.put(index, taken),
            prefillingTokens = Tokens(prefillingTokens.count + prefill),
            groupLeases = groupLeases + if (reservation.grouped) sign else 0
        )
    }
}
