package org.gypsumroute.core.requests

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
import org.gypsumroute.core.ServiceOrganisation
import org.gypsumroute.core.groups.GroupPlan
import org.gypsumroute.core.peers.lengthClass

/**
 * What a caller asked for; does not change after admission. [kind] is null if the caller asks for
 * an action key rather than for work.
 */
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
    /** Waits for the next attempt, or for a connection to the issuer of its action key. */
    WAITING,

    /** Has asked endpoints and waits for a grant or an action key. */
    ASKING,

    /** The work was dispatched to an endpoint. */
    RUNNING,

    /** The complete answer has arrived, and the caller has not read all of it yet. */
    DELIVERING
}

/**
 * One admitted request.
 *
 * [attempt] counts the rounds in which endpoints were asked, [backoffCount] the waits without an
 * endpoint to ask, and [failovers] the moves of a running generation to another endpoint.
 * [excludedHosts] are the hosts that refused or failed the request since the last wait.
 * [runningLease] is the lease whose answer is read; [keyRequestHost] was asked for an action key.
 * [deliveredTokens] counts the output of all leases, and [deliveredByEarlierLeases] leaves out that
 * of the current one. [earlierWorkRunState] is what is known of the work of ended leases and
 * finished segments.
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
    val earlierWorkRunState: RunState = RunState.NOT_RUN,
    val lastRefusal: Failure? = null,
    val dataCentre: DataCentreId? = null
) {
    /** Prompt length of the next lease: the caller's prompt plus the text delivered so far. */
    val nextPromptTokens: Tokens get() = spec.promptTokens + deliveredTokens

    /** Output tokens that may still be generated. */
    val remainingOutput: Tokens get() = spec.outputLimit - deliveredTokens

    val serviceOrganisation: ServiceOrganisation
        get() = ServiceOrganisation(spec.service, spec.organisation)
}
