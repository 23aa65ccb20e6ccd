package org.gypsumroute.api

import kotlin.time.Duration

/** The start [startedAt] of an endpoint stated the time [ago] in an answer that it leaves. */
data class ReportedLeaving(val endpoint: EndpointId, val startedAt: UnixTime?, val ago: Duration)
