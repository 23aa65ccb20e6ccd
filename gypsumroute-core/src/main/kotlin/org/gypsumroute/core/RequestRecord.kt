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
data class RequestSpec(
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
 * [attempt] counts rounds of asking, [excludedHosts] the hosts that refused since the last wait, and
 * [deliveredTokens] the tokens of all earlier leases and the current one; [deliveredByEarlierLeases] leaves out
 * the current one. [endedLeasesRunState] is what leases that are over did. A request for an action key has no
 * kind of work in its [spec].
 */
data class RequestRecord(
    val id: RequestId,
    val spec: RequestSpec,
    val arrivedAt: Moment,
    val deadline: Moment,
    val phase: RequestPhase = RequestPhase.WAITING,
    val attempt: Int = 0,
    val backoffCount: Int = 0,
    val failovers: Int = 0,
    val excludedHosts: PersistentSet<HostId> = persistentSetOf(),
    val leases: PersistentSet<LeaseId> = persistentSetOf(),
    val runningLease: LeaseId? = null,
    val keyRequestHost: HostId? = null,
    val group: GroupPlan? = null,
    val answerBegan: Boolean = false,
    val deliveredTokens: Tokens = Tokens.ZERO,
    val deliveredByEarlierLeases: Tokens = Tokens.ZERO,
    val endedLeasesRunState: RunState = RunState.NOT_RUN,
    val lastRefusal: Failure? = null,
    val dataCentre: DataCentreId? = null
) {
    /** Prompt of the next lease: the caller's and the text that was delivered. */
    val nextPromptTokens: Tokens get() = spec.promptTokens + deliveredTokens

    /** Output that may still be generated. */
    val remainingOutput: Tokens get() = spec.outputLimit - deliveredTokens

    val serviceOrganisation: ServiceOrganisation get() = ServiceOrganisation(spec.service, spec.organisation)
}
