package org.gypsumroute.core.admission

import kotlin.time.Duration
import org.gypsumroute.core.requests.RequestSpec

/** Result of a passed admission check: what the request asks for and the timeout that applies. */
internal data class Admission(val spec: RequestSpec, val timeout: Duration)
