package org.gypsumroute.gateway.callers

import io.netty.channel.Channel
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The one time limit of a caller's connection that is in force. */
internal class CallerTimeout {
    private var scheduled: ScheduledFuture<*>? = null

    /** Calls [action] on the event loop of [channel] after this time; replaces an earlier limit. */
    fun set(channel: Channel, after: Duration, action: () -> Unit) {
        cancel()
        scheduled = channel.eventLoop()
            .schedule(action, after.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun cancel() {
        scheduled?.cancel(false)
    }
}
