/*
 * Checks a request whose body has arrived against its service document and the entry's limits.
 */
package org.gypsumroute.core.admission

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlin.math.ceil
import kotlin.time.Duration
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.ErrorKind
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LengthClass
import org.gypsumroute.api.NodeRole
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.RetryAdvice
import org.gypsumroute.api.RunState
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.api.WorkKind
import org.gypsumroute.core.CommonState
import org.gypsumroute.core.EntryState
import org.gypsumroute.core.ServiceOrganisation
import org.gypsumroute.core.actions.actionKeyIssuer
import org.gypsumroute.core.documents.findOrganisationRule
import org.gypsumroute.core.peers.lengthClass
import org.gypsumroute.core.requests.RequestSpec
import org.gypsumroute.core.requests.retry

internal fun checkGeneration(
    state: EntryState,
    event: CallerEvent.GenerationArrived
): Either<Failure, Admission> = either {
    val checks = RequestChecks(state, this)
    val (document, rule) =
        checks.findServiceAccess(event.service, event.keyDigest, ServiceKind.GENERATION)
    checks.ensureOrFail(event.promptTokens <= document.promptLimit, ErrorKind.PROMPT_TOO_LONG) {
        "the prompt has ${event.promptTokens} tokens; the limit is ${document.promptLimit}"
    }
    val output = event.outputLimit ?: document.outputLimit
    checks.ensureOrFail(
        output > Tokens.ZERO && output <= document.outputLimit,
        ErrorKind.OUTPUT_LIMIT_INVALID
    ) { "the output limit must be 1 to ${document.outputLimit} tokens" }
    val timeout = checks.resolveTimeout(document, event.timeout)
    checks.limitOpenRequests(document, rule)
    val spec = RequestSpec(
        service = event.service,
        organisation = rule.organisation,
        lengthClass = lengthClassOf(document, event.promptTokens).name,
        promptTokens = event.promptTokens,
        outputLimit = output,
        bodyBytes = event.bodyBytes,
        prefix = event.prefix,
        kind = WorkKind.GENERATION
    )
    Admission(spec, timeout)
}

internal fun checkCall(
    state: EntryState,
    event: CallerEvent.CallArrived
): Either<Failure, Admission> = either {
    val checks = RequestChecks(state, this)
    val (document, rule) =
        checks.findServiceAccess(event.service, event.keyDigest, ServiceKind.PLAIN)
    val notRepeatable = event.path in document.actions.notRepeatable
    checks.ensureOrFail(!notRepeatable || event.actionKey != null, ErrorKind.ACTION_KEY_MISSING) {
        "calls of ${event.path} need an action key issued for this service"
    }
    val key = event.actionKey.takeIf { notRepeatable }
    checks.ensureOrFail(key == null || actionKeyIssuer(key) != null, ErrorKind.ACTION_KEY_INVALID) {
        "the action key was not issued by this service"
    }
    val timeout = checks.resolveTimeout(document, event.timeout)
    // An earlier call with the same key may have run, so this refusal must not report `not_run`.
    checks.limitOpenRequests(
        document,
        rule,
        if (notRepeatable) RunState.UNKNOWN else RunState.NOT_RUN
    )
    val spec = RequestSpec(
        service = event.service,
        organisation = rule.organisation,
        lengthClass = lengthClassOf(document, Tokens.ZERO).name,
        bodyBytes = event.bodyBytes,
        path = event.path,
        actionKey = key,
        kind = if (notRepeatable) WorkKind.ACTION else WorkKind.CALL
    )
    Admission(spec, timeout)
}

internal fun checkActionKeyWanted(
    state: EntryState,
    event: CallerEvent.ActionKeyWanted
): Either<Failure, Admission> = either {
    val checks = RequestChecks(state, this)
    val (document, rule) =
        checks.findServiceAccess(event.service, event.keyDigest, ServiceKind.PLAIN)
    val timeout = checks.resolveTimeout(document, event.timeout)
    checks.limitOpenRequests(document, rule)
    val lengthClass = lengthClassOf(document, Tokens.ZERO).name
    Admission(RequestSpec(event.service, rule.organisation, lengthClass), timeout)
}

/** The length class of a prompt; a prompt above every class's limit falls into the last class. */
internal fun lengthClassOf(document: ServiceDocument, prompt: Tokens): LengthClass =
    document.lengthClasses.firstOrNull { prompt <= it.upTo } ?: document.lengthClasses.last()

/**
 * Creates a failure. If its kind advises to retry later, it gets a retry delay: the longest backoff
 * of the service if the service is known, otherwise twice the connect backoff.
 */
internal fun failureWithRetryAdvice(
    state: EntryState,
    kind: ErrorKind,
    detail: String,
    runState: RunState = kind.runState,
    service: ServiceId? = null
): Failure {
    val rule = service?.let { state.common.documents.inForce(it)?.retry }
    val retryAfter = (rule?.longestBackoff ?: state.common.timings.connectBackoff * 2)
    return Failure(kind, detail, runState, retryAfter.takeIf { kind.retry == RetryAdvice.LATER })
}

/** A service, and what its document allows the organisation that holds the request's key. */
private data class ServiceAccess(val document: ServiceDocument, val rule: OrganisationRule)

/** Checks that several kinds of requests have in common; each raises a failure. */
private class RequestChecks(private val state: EntryState, private val raise: Raise<Failure>) {
    fun ensureOrFail(condition: Boolean, kind: ErrorKind, detail: () -> String) =
        raise.ensure(condition) { failureWithRetryAdvice(state, kind, detail()) }

    fun findServiceAccess(service: ServiceId, keyDigest: String, kind: ServiceKind): ServiceAccess {
        val document = raise.ensureNotNull(state.common.documents.inForce(service)) {
            failureWithRetryAdvice(state, ErrorKind.SERVICE_UNKNOWN, "no service named $service")
        }
        val rule = raise.ensureNotNull(findOrganisationRule(document, keyDigest)) {
            failureWithRetryAdvice(
                state,
                ErrorKind.CREDENTIALS_INVALID,
                "the key is not known to $service"
            )
        }
        ensureOrFail(document.kind == kind, ErrorKind.SERVICE_KIND_MISMATCH) {
            "$service is of kind ${document.kind.name.lowercase()}"
        }
        return ServiceAccess(document, rule)
    }

    fun resolveTimeout(document: ServiceDocument, requested: Duration?): Duration {
        val timeout = raise.ensureNotNull(requested ?: document.deadline.default) {
            failureWithRetryAdvice(state, ErrorKind.DEADLINE_MISSING, "the request needs a timeout")
        }
        val longest = document.deadline.longest
        ensureOrFail(timeout > Duration.ZERO && timeout <= longest, ErrorKind.DEADLINE_INVALID) {
            "the timeout must be above 0 and at most $longest"
        }
        return timeout
    }

    fun limitOpenRequests(
        document: ServiceDocument,
        rule: OrganisationRule,
        runState: RunState = RunState.NOT_RUN
    ) {
        val open = state.openRequests[ServiceOrganisation(document.service, rule.organisation)] ?: 0
        raise.ensure(open < openRequestLimit(state.common, rule)) {
            val detail = "${rule.organisation} has $open open requests at this entry"
            val kind = ErrorKind.ORGANISATION_LIMIT
            failureWithRetryAdvice(state, kind, detail, runState, document.service)
        }
    }
}

/**
 * This entry's part of an organisation's limit on open requests: twice the even share among the
 * entries, at most the whole limit, because the load balancer distributes callers unevenly.
 */
private fun openRequestLimit(common: CommonState, rule: OrganisationRule): Int {
    val entries = common.hosts.values.count { it.role == NodeRole.ENTRY && !it.leaving }
    val share = ceil(2.0 * rule.openRequests / entries.coerceAtLeast(1)).toInt()
    return minOf(share, rule.openRequests)
}
