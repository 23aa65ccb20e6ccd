/*
 * Evidence that a part of a prompt crashes endpoints.
 *
 * A prompt that crashes each endpoint that answers it would take one endpoint after the other. Its
 * requests differ in everything but the part, and each crash also breaks off requests that only
 * were at the same endpoint. So a part is suspect only if requests with it lost several endpoints,
 * one after the other, while requests without it were served and none with it was. Losses at one
 * time, as in a power failure, or while nothing is served, as without a network, prove nothing.
 */
package org.gypsumroute.core.gateway.crashes

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.EndpointStart
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest

/**
 * The connection of an attempt at [start], sent at [sentAt], was lost at [lostAt], before its
 * answer had begun or at the beginning of it.
 */
data class EndpointLoss(
    val start: EndpointStart,
    val organisation: OrganisationDigest,
    val sentAt: Moment,
    val lostAt: Moment
)

/**
 * The losses under one part since it was last in a complete answer: at most one for each start of
 * an endpoint, in the order of their times. [othersServed] counts requests without the part that
 * were served since the first of them, up to [ENOUGH_OTHERS_SERVED]. A part is [unproven] if it was
 * lost while the gateway was cautious, and in no complete answer since the gateway started; a
 * single loss is then enough.
 */
data class PartEvidence(
    val losses: List<EndpointLoss>,
    val othersServed: Int = 0,
    val unproven: Boolean = false
) {
    /** The starts of endpoints that were lost. */
    val starts: Set<EndpointStart> get() = losses.mapTo(HashSet()) { it.start }

    /**
     * Losses of which each was sent after the one before it. One that was lost at once was sent to
     * an endpoint that had ended already, so it does not come after the others.
     */
    private val successiveLosses: List<EndpointLoss>
        get() {
            val successive = ArrayList<EndpointLoss>()
            for (loss in losses) {
                val previous = successive.lastOrNull()
                val isLater = previous == null ||
                    (loss.sentAt >= previous.lostAt && loss.lostAt - loss.sentAt >= MIN_RUN_TIME)
                if (isLater) successive += loss
            }
            return successive
        }

    /** How many losses came one after the other; losses at one time count as one. */
    val episodes: Int get() = successiveLosses.size

    /** Whether the losses are more than chance brings about under a sound part. */
    val isEstablished: Boolean
        get() = losses.size >= MIN_LOSSES && othersServed >= ENOUGH_OTHERS_SERVED &&
            episodes >= MIN_EPISODES

    val isSuspect: Boolean
        get() = isEstablished || (unproven && othersServed >= ENOUGH_OTHERS_SERVED)

    /**
     * Requests with the part are refused until then; each further episode prolongs the time. The
     * block of an unproven part begins with a longer time, since it may have had losses before.
     */
    val blockedUntil: Moment
        get() {
            val expected = if (unproven) 0 else EPISODES_OF_FIRST_BLOCK
            val further = (episodes - expected).coerceAtLeast(0)
            val block = FIRST_BLOCK * BLOCK_GROWTH.pow(further)
            return losses.last().lostAt + block.coerceAtMost(MAX_BLOCK)
        }

    /**
     * Adds a loss; beyond [MAX_LOSSES] the least telling one is forgotten. An endpoint that took a
     * request after an earlier loss had not ended then, so that the later loss replaces that one,
     * unless the difference may come from the [delay] of a report.
     */
    fun plus(loss: EndpointLoss, delay: Duration = Duration.ZERO): PartEvidence {
        val known = losses.find { it.start == loss.start }
        if (known != null && loss.sentAt < known.lostAt + delay) return this
        val others = if (known == null) losses else losses - known
        val added = copy(losses = (others + loss).sortedBy { it.lostAt })
        return added.copy(losses = added.mostTelling(MAX_LOSSES))
    }

    /**
     * At most [count] losses, in the order of their times: first those that came one after the
     * other, then the latest of the others.
     */
    fun mostTelling(count: Int): List<EndpointLoss> {
        if (losses.size <= count) return losses
        val successive = successiveLosses.takeLast(count)
        val others = (losses - successive.toSet()).takeLast(count - successive.size)
        return (successive + others).sortedBy { it.lostAt }
    }

    /** The evidence without losses up to [moment], or null if none is left. */
    fun after(moment: Moment): PartEvidence? = when {
        losses.first().lostAt > moment -> this
        losses.last().lostAt <= moment -> null
        else -> PartEvidence(losses.filter { it.lostAt > moment })
    }

    /** Counts another request, without the part, that was served. */
    fun withOtherServed(): PartEvidence =
        if (othersServed < ENOUGH_OTHERS_SERVED) copy(othersServed = othersServed + 1) else this
}

/** Requests without a part that must be served before its losses count against it. */
internal const val ENOUGH_OTHERS_SERVED = 2

/** An attempt at a running endpoint takes at least this long until a crash ends it. */
private val MIN_RUN_TIME: Duration = 10.milliseconds

/** Fewer losses can come together under a sound part by chance. */
private const val MIN_LOSSES = 3
private const val MIN_EPISODES = 2
private const val MAX_LOSSES = 8
private const val EPISODES_OF_FIRST_BLOCK = 3

/** Short, so that a part that is suspected wrongly is soon tried again. */
private val FIRST_BLOCK: Duration = 2.seconds
private const val BLOCK_GROWTH = 16.0
private val MAX_BLOCK: Duration = 10.minutes
