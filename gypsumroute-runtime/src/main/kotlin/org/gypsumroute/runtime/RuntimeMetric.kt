package org.gypsumroute.runtime

/** Metrics of the runtime itself, under the names that Prometheus shows. */
enum class RuntimeMetric(val prometheusName: String, val description: String) {
    CONTROL_EVENTS("gypsumroute_control_events_total", "Events the control thread processed"),
    CONTROL_TIME(
        "gypsumroute_control_time_nanoseconds_total",
        "Time the control thread spent on events"
    ),
    CONTROL_WAITING("gypsumroute_control_waiting_events", "Events that wait in the mailbox")
}
