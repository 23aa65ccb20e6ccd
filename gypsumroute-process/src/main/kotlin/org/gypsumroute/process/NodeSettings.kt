package org.gypsumroute.process

import kotlin.time.Duration
import org.gypsumroute.api.DataCentreId
import org.gypsumroute.api.HostId
import org.gypsumroute.api.RegionId
import org.gypsumroute.core.Timings
import org.gypsumroute.runtime.LogFormat

/** Settings that the roles entry and agent share. URLs have the form `http://address:port`. */
data class NodeSettings(
    val host: HostId,
    val region: RegionId,
    val dataCentre: DataCentreId,
    val configurationUrl: String,
    val hostListUrl: String,
    val sharedKey: SharedKey,
    val logFormat: LogFormat,
    val drainLimit: Duration,
    val timings: Timings = Timings()
)
