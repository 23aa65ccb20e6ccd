package org.gypsumroute.core.gateway.shares

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.gypsumroute.api.EngineUse
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationDigest
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceUse
import org.gypsumroute.core.gateway.crashes.digestOf

/**
 * What this gateway knows of the use of engines by organisations, as of its last refresh at
 * [refreshedAt] and its own requests since then. [report] is what it tells the other gateways.
 */
data class SharesState(
    val services: PersistentMap<ServiceId, ServiceShares> = persistentMapOf(),
    val report: List<ServiceUse> = emptyList(),
    val refreshedAt: Moment = Moment.START
) {
    /** Adds engine time of a request of [organisation] to its account. */
    internal fun plusUse(
        service: ServiceId,
        organisation: OrganisationId?,
        use: EngineUse,
        now: Moment
    ): SharesState {
        val shares = services[service] ?: ServiceShares()
        val digest = digestOf(organisation)
        val account = shares.accounts[digest] ?: OrganisationAccount(organisation)
        val accounts = shares.accounts.put(digest, account.plus(use, now))
        return copy(services = services.put(service, shares.copy(accounts = accounts)))
    }
}

/**
 * Use of one service by organisations.
 *
 * [accounts] count the requests of this gateway. Until [shortUntil], the [fairShare] of each
 * organisation and the time that other gateways admitted it for ([usedElsewhere]) matter.
 * [overUntil] holds the organisations that were noted as over their share, with the time until
 * which they are not noted again.
 */
data class ServiceShares(
    val accounts: PersistentMap<OrganisationDigest, OrganisationAccount> = persistentMapOf(),
    val shortUntil: Moment = Moment.START,
    val fairShare: Duration = Duration.INFINITE,
    val usedElsewhere: Map<OrganisationDigest, Duration> = emptyMap(),
    val overUntil: PersistentMap<OrganisationDigest, Moment> = persistentMapOf()
) {
    /** Use beyond the fair share as a multiple of the share, or 0 within it. */
    internal fun excessOf(organisation: OrganisationDigest, now: Moment): Double {
        if (now >= shortUntil) return 0.0
        return (usedBy(organisation, now) / fairShare - 1).coerceAtLeast(0.0)
    }

    /** Engine time that the organisation was admitted for, as far as this gateway knows. */
    internal fun usedBy(organisation: OrganisationDigest, now: Moment): Duration {
        val here = accounts[organisation]?.useAt(now)?.admitted ?: Duration.ZERO
        val elsewhere = usedElsewhere[organisation] ?: Duration.ZERO
        return here + elsewhere
    }
}

/**
 * Engine time that one organisation asked for and was admitted for through this gateway, [use] as
 * of [asOf]. [organisation] is null for all callers without a key.
 */
data class OrganisationAccount(
    val organisation: OrganisationId?,
    private val use: EngineUse = EngineUse(),
    private val asOf: Moment = Moment.START
) {
    /** The use at [now] if nothing was added since. */
    fun useAt(now: Moment): EngineUse {
        val remaining = exp(-((now - asOf) / USE_TIME_CONSTANT))
        return EngineUse(use.asked * remaining, use.admitted * remaining)
    }

    /** Adds engine time of a request. */
    fun plus(added: EngineUse, now: Moment): OrganisationAccount =
        OrganisationAccount(organisation, useAt(now) + added, now)

    /** Whether the organisation sent a request recently. */
    fun isActive(now: Moment): Boolean = now - asOf < ACTIVE_TIME
}

/**
 * Time constant of the decaying sums. In a steady state, a sum is the engine time of this period.
 */
internal val USE_TIME_CONSTANT: Duration = 5.seconds

/** After three time constants, 5 % of a sum is left. */
private val ACTIVE_TIME: Duration = USE_TIME_CONSTANT * 3
