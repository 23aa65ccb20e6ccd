package org.gypsumroute.api

/** Bytes of an endpoint that belong to no request of a gateway, or not to the open one. */
enum class UnexpectedInput(val code: String) {
    /** Bytes on a connection whose last response is complete. */
    WITHOUT_REQUEST("without_request"),

    /** A response that is not provably the one to the open request, and is passed over. */
    OTHER_RESPONSE("other_response"),

    /** A response whose head was joined from two responses. */
    JOINED_RESPONSES("joined_responses")
}
