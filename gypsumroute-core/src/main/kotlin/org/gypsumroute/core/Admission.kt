package org.gypsumroute.core

import kotlin.time.Duration

/** Result of a passed admission check: what the request asks for and the timeout that applies. */
internal data class Admission(val spec: RequestSpec, val timeout: Duration)
