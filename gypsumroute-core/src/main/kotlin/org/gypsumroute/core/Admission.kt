package org.gypsumroute.core

import kotlin.time.Duration

/** What a check of a complete request found: its terms and the time its caller allows. */
internal data class Admission(val spec: RequestSpec, val timeout: Duration)
