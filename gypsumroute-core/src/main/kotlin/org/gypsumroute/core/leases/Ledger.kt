package org.gypsumroute.core.leases

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.HandleId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.peers.lengthClass

/**
 * Reservations of the endpoint's capacity.
 *
 * The totals are updated with each reservation. [memoryByClass] and [slotsByClass] are the
 * reserved memory and slots by position of the length class. [prefillingTokens] are the prompt
 * tokens that are in prefill or reserved for a coming prefill. [openedPromptTokens] are all prompt
 * tokens handed to the engine so far, and [groupLeases] is the number of reservations whose lease
 * belongs to a group.
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
    /** Memory reserved by all classes. */
    val reservedMemory: Tokens get() = memoryFromClass(0)

    /** Slots in use by all classes. */
    val slotsInUse: Int get() = slotsFromClass(0)

    operator fun get(lease: LeaseId): Reservation? = reservations[lease]

    /** Memory reserved by the class at [index] and longer ones. */
    fun memoryFromClass(index: Int): Tokens =
        Tokens(memoryByClass.entries.sumOf { if (it.key >= index) it.value.count else 0L })

    /** Slots in use by the class at [index] and longer ones. */
    fun slotsFromClass(index: Int): Int = slotsByClass.entries.sumOf {
        if (it.key >=
            index
        ) {
            it.value
        } else {
            0
        }
    }

    /** Adds a reservation or replaces the one of the same lease. */
    fun put(reservation: Reservation): Ledger {
        val updatedHandles = if (reservation.handle == null) {
            handles
        } else {
            handles.put(reservation.handle, reservation.lease)
        }
        return remove(reservation.lease).withTotalsChanged(reservation, 1).copy(
            reservations = reservations.put(reservation.lease, reservation),
            handles = updatedHandles
        )
    }

    /** Removes the reservation of a lease. */
    fun remove(lease: LeaseId): Ledger {
        val reservation = reservations[lease] ?: return this
        return withTotalsChanged(reservation, -1).copy(
            reservations = reservations.remove(lease),
            handles = reservation.handle?.let { handles.remove(it) } ?: handles
        )
    }

    private fun withTotalsChanged(reservation: Reservation, sign: Int): Ledger {
        val index = reservation.lengthClass
        val tokens = (memoryByClass[index]?.count ?: 0) + sign * reservation.tokens.count
        val slots = (slotsByClass[index] ?: 0) + if (reservation.occupiesSlot) sign else 0
        val prefill = if (reservation.prefilling) sign * reservation.prompt.count else 0
        return copy(
            memoryByClass = memoryByClass.put(index, Tokens(tokens)),
            slotsByClass = slotsByClass.put(index, slots),
            prefillingTokens = Tokens(prefillingTokens.count + prefill),
            groupLeases = groupLeases + if (reservation.grouped) sign else 0
        )
    }
}
