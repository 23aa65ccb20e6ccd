package org.gypsumroute.core

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.Failure
import org.gypsumroute.api.HostId
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.LengthClassName
import org.gypsumroute.api.Moment
import org.gypsumroute.api.OrganisationId
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind

/** What a caller asked for; does not change after the request was admitted. */
data class RequestTerms(
    val service: ServiceId,
    val organisation: OrganisationId,
    val lengthClass: LengthClassName,
    val promptTokens: Tokens = Tokens.ZERO,
    val outputLimit: Tokens = Tokens.ZERO,
    val bodyBytes: Bytes = Bytes.ZERO,
    val prefix: PrefixDigest? = null,
    val path: String? = null,
    val actionKey: ActionKey? = null,
    val kind: WorkKind? = null
)

/** Progress of an admitted request. */
enum class RequestPhase {
    /** Waits for the next attempt, or for the connection to an action key's host. */
    WAITING,

    /** Asked endpoints and waits for a grant or for an action key. */
    ASKING,

    /** Work was dispatched. */
    RUNNING,

    /** The whole answer arrived; the caller has not taken it yet. */
    DELIVERING
}

/**
 * One admitted request.
 *
 * [attempt] counts rounds of asking, [tried] the hosts that refused since the last wait, and
 * [delivered] the tokens of all earlier leases and the current one; [deliveredBefore] leaves out
 * the current one. [history] is what leases that are over did. A request for an action key has no
 * kind of work in its [terms].
 */
data class RequestRecord(
    val id: RequestId,
    val terms: RequestTerms,
    val arrivedAt: Moment,
    val deadline: Moment,
    val phase: RequestPhase = RequestPhase.WAITING,
    val attempt: Int = 0,
    val waits: Int = 0,
    val moves: Int = 0,
    val tried: PersistentSet<HostId> = persistentSetOf(),
    val leases: PersistentSet<LeaseId> = persistentSetOf(),
    val running: LeaseId? = null,
    val asked: HostId? = null,
    val group: GroupPlan? = null,
    val answerBegan: Boolean = false,
    val delivered: Tokens = Tokens.ZERO,
    val deliveredBefore: Tokens = Tokens.ZERO,
    val history: RunState = RunState.NOT_RUN,
    val lastRefusal: Failure? = null,
    val dataCentre: DataCentreId? = null
) {
    /** Prompt of the next lease: the caller's and the text that was delivered. */
    val promptNow: Tokens get() = terms.promptTokens + delivered

    /** Output that may still be generated. */
    val outputLeft: Tokens get() = terms.outputLimit - delivered

    val membership: Membership get() = Membership(terms.service, terms.organisation)
}
