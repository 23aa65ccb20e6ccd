package org.gypsumroute.core.gateway.endpoints

import kotlin.time.Duration

/** Times that a stream should take at an endpoint whose pace is as the model predicts. */
data class ExpectedTimes(val firstEvent: Duration, val pause: Duration)
