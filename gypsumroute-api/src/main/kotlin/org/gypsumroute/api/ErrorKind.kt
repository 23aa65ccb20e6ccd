/*
 * All error kinds, and for each what its answer contains.
 *
 * That is the HTTP status, the run state if the process knows nothing more specific, and the retry
 * advice. `docs/errors.md` lists the same rows for operators and callers.
 */
package org.gypsumroute.api

import org.gypsumroute.api.RetryAdvice.CALLER_DECIDES
import org.gypsumroute.api.RetryAdvice.LATER
import org.gypsumroute.api.RetryAdvice.NEVER
import org.gypsumroute.api.RunState.NOT_RUN
import org.gypsumroute.api.RunState.RAN
import org.gypsumroute.api.RunState.UNKNOWN

/** An error that a caller or a peer gets as an answer. The list is closed. */
enum class ErrorKind(
    val code: String,
    val httpStatus: Int,
    val runState: RunState,
    val retry: RetryAdvice
) {
    MALFORMED_REQUEST("malformed_request", 400, NOT_RUN, NEVER),
    DEADLINE_MISSING("deadline_missing", 400, NOT_RUN, NEVER),
    DEADLINE_INVALID("deadline_invalid", 400, NOT_RUN, NEVER),
    BODY_INCOMPLETE("body_incomplete", 400, NOT_RUN, LATER),
    BODY_TOO_LARGE("body_too_large", 413, NOT_RUN, NEVER),
    PROMPT_TOO_LONG("prompt_too_long", 413, NOT_RUN, NEVER),
    OUTPUT_LIMIT_INVALID("output_limit_invalid", 400, NOT_RUN, NEVER),
    REQUEST_INCOMPLETE("request_incomplete", 408, NOT_RUN, LATER),
    HEADERS_TOO_LARGE("headers_too_large", 431, NOT_RUN, NEVER),
    ROUTE_UNKNOWN("route_unknown", 404, NOT_RUN, NEVER),
    CREDENTIALS_INVALID("credentials_invalid", 401, NOT_RUN, NEVER),
    SERVICE_UNKNOWN("service_unknown", 404, NOT_RUN, NEVER),
    SERVICE_KIND_MISMATCH("service_kind_mismatch", 400, NOT_RUN, NEVER),
    REQUEST_DUPLICATE("request_duplicate", 409, NOT_RUN, NEVER),
    ACTION_KEY_MISSING("action_key_missing", 400, NOT_RUN, NEVER),
    ACTION_KEY_INVALID("action_key_invalid", 400, NOT_RUN, NEVER),
    ACTION_IN_PROGRESS("action_in_progress", 409, UNKNOWN, LATER),
    ACTION_OUTCOME_UNKNOWN("action_outcome_unknown", 409, UNKNOWN, CALLER_DECIDES),
    ORGANISATION_LIMIT("organisation_limit", 429, NOT_RUN, LATER),
    OVERLOADED("overloaded", 503, NOT_RUN, LATER),
    NO_ENDPOINT("no_endpoint", 503, NOT_RUN, LATER),
    GROUP_UNAVAILABLE("group_unavailable", 503, NOT_RUN, LATER),
    DRAINING("draining", 503, NOT_RUN, LATER),
    DATA_CENTRE_OUT("data_centre_out", 503, NOT_RUN, LATER),
    NOT_READY("not_ready", 503, NOT_RUN, LATER),
    PROMPT_PART_BLOCKED("prompt_part_blocked", 503, NOT_RUN, LATER),
    INTERNAL_ERROR("internal_error", 503, NOT_RUN, LATER),
    DEADLINE_UNREACHABLE("deadline_unreachable", 503, NOT_RUN, LATER),
    DEADLINE_EXCEEDED("deadline_exceeded", 504, UNKNOWN, CALLER_DECIDES),
    DRAIN_EXPIRED("drain_expired", 504, UNKNOWN, CALLER_DECIDES),
    LEASE_EXPIRED("lease_expired", 503, UNKNOWN, CALLER_DECIDES),
    ENDPOINT_LOST("endpoint_lost", 502, UNKNOWN, CALLER_DECIDES),
    ENGINE_FAILED("engine_failed", 502, RAN, CALLER_DECIDES),
    ENDPOINT_REFUSED("endpoint_refused", 503, NOT_RUN, LATER),
    ENGINE_REFUSED("engine_refused", 503, NOT_RUN, LATER),
    PLAIN_SERVICE_FAILED("plain_service_failed", 502, UNKNOWN, CALLER_DECIDES),
    READER_TOO_SLOW("reader_too_slow", 503, RAN, CALLER_DECIDES),
    ANSWER_BUFFER_FULL("answer_buffer_full", 503, NOT_RUN, LATER),
    CALLER_LEFT("caller_left", 499, UNKNOWN, NEVER)
}
