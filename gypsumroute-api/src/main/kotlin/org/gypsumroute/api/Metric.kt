package org.gypsumroute.api

/** A metric. Its Prometheus name ends in its unit, or in `total` for counters. */
enum class Metric(val prometheusName: String, val description: String) {
    REQUESTS("gypsumroute_requests_total", "Requests ended, by outcome"),
    FIRST_TOKEN("gypsumroute_first_token_seconds", "Time from arrival to first token"),
    REQUEST_DURATION("gypsumroute_request_duration_seconds", "Time from arrival to end"),
    RETRIES("gypsumroute_retries_total", "Attempts after the first"),
    GRANTS("gypsumroute_grants_total", "Answers to grant requests, by outcome"),
    QUEUE_WAIT("gypsumroute_queue_wait_seconds", "Time from grant request to grant"),
    ORPHANS("gypsumroute_orphans_total", "Streams and handles found without a lease"),
    PAUSES("gypsumroute_pauses_total", "Pauses of the process that were noticed"),
    DOCUMENTS("gypsumroute_documents_accepted_total", "Service documents accepted"),
    ATTEMPTS("gypsumroute_attempts_total", "Attempts of gateways at endpoints, by outcome"),
    STORE_READS("gypsumroute_store_reads_total", "Reads of published records, by outcome"),
    STORE_SILENCE(
        "gypsumroute_store_silence_seconds",
        "Time between two answers of the store to reads of published records"
    ),
    STORE_ERAS(
        "gypsumroute_store_eras_total",
        "Changes of the store's era, by how they were learnt"
    ),
    STORE_ERAS_REJECTED(
        "gypsumroute_store_eras_rejected_total",
        "Answers of the store without a usable era, by outcome"
    ),
    REPORTS_REJECTED(
        "gypsumroute_reports_rejected_total",
        "Datagrams of other gateways that could not be used"
    ),
    LOADS_REJECTED(
        "gypsumroute_loads_rejected_total",
        "Loads stated by endpoints that could not be used"
    ),
    CALLERS_LEFT(
        "gypsumroute_callers_left_total",
        "Callers that left a gateway before their answer was complete, by outcome"
    ),
    STATEMENTS(
        "gypsumroute_statements_total",
        "Statements of endpoints in answers that changed what a gateway believes, by outcome"
    ),
    STATEMENTS_REJECTED(
        "gypsumroute_statements_rejected_total",
        "Statements of endpoints in answers that could not be used, by outcome"
    ),
    CALLERS_DROPPED(
        "gypsumroute_callers_dropped_total",
        "Connections of callers that were closed to save resources, by outcome"
    ),
    INPUT_DROPPED(
        "gypsumroute_input_dropped_total",
        "Times at which endpoints sent bytes that belong to no open request, by outcome"
    ),
    PROMPT_PARTS_BLOCKED(
        "gypsumroute_prompt_parts_blocked_total",
        "Decisions to refuse requests with a part of a prompt, or to refuse them for longer"
    ),
    ADMISSION_WAITS(
        "gypsumroute_admission_waits_total",
        "Requests that began to wait at a gateway for room at engines"
    ),
    ADMISSION_WAIT(
        "gypsumroute_admission_wait_seconds",
        "Time that requests waited at a gateway for room at engines, by outcome"
    ),
    SHORTAGE_REFUSALS(
        "gypsumroute_shortage_refusals_total",
        "Requests that a gateway refused because engines lack capacity, by outcome"
    ),
    ORGANISATIONS_OVER_SHARE(
        "gypsumroute_organisations_over_share_total",
        "Times at which an organisation went over its share of a service that is short of capacity"
    )
}
