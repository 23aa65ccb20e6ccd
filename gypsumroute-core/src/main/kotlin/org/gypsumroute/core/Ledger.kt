package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens

/**
 * What the endpoint's capacity is reserved for.
 *
 * The sums are kept with the reservations: [memory] and [slots] by length class, [prefilling] the
 * prompt tokens that are or may soon be in prefill, [opened] the prompt tokens ever handed to the
 * engine, [groups] the number of leases that belong to groups.
 */
data class Ledger(
    val reservations: PersistentMap<LeaseId, Reservation> = persistentMapOf(),
    val handles: PersistentMap<HandleId, LeaseId> = persistentMapOf(),
    val memory: PersistentMap<Int, Tokens> = persistentMapOf(),
    val slots: PersistentMap<Int, Int> = persistentMapOf(),
    val prefilling: Tokens = Tokens.ZERO,
    val opened: Long = 0,
    val groups: Int = 0
) {
    /** All memory reserved. */
    val reserved: Tokens get() = memoryFrom(0)

    /** All slots taken. */
    val running: Int get() = slotsFrom(0)

    operator fun get(lease: LeaseId): Reservation? = reservations[lease]

    /** Memory reserved by the class at [index] and longer ones. */
    fun memoryFrom(index: Int): Tokens =
        Tokens(memory.entries.sumOf { if (it.key >= index) it.value.count else 0L })

    /** Slots taken by the class at [index] and longer ones. */
    fun slotsFrom(index: Int): Int = slots.entries.sumOf { if (it.key >= index) it.value else 0 }

    /** Adds a reservation or replaces the one of the same lease. */
    fun put(reservation: Reservation): Ledger {
        val handles = if (reservation.handle == null) {
            handles
        } else {
            handles.put(reservation.handle, reservation.lease)
        }
        return remove(reservation.lease).counted(reservation, 1).copy(
            reservations = reservations.put(reservation.lease, reservation),
            handles = handles
        )
    }

    /** Frees the reservation of a lease. */
    fun remove(lease: LeaseId): Ledger {
        val reservation = reservations[lease] ?: return this
        return counted(reservation, -1).copy(
            reservations = reservations.remove(lease),
            handles = reservation.handle?.let { handles.remove(it) } ?: handles
        )
    }

    private fun counted(reservation: Reservation, sign: Int): Ledger {
        val index = reservation.lengthClass
        val tokens = (memory[index]?.count ?: 0) + sign * reservation.tokens.count
        val taken = (slots[index] ?: 0) + if (reservation.takesSlot) sign else 0
        val prefill = if (reservation.prefilling) sign * reservation.prompt.count else 0
        return copy(
            memory = memory.put(index, Tokens(tokens)),
            slots = slots.put(index, taken),
            prefilling = Tokens(prefilling.count + prefill),
            groups = groups + if (reservation.grouped) sign else 0
        )
    }
}
