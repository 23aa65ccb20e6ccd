package org.gypsumroute.process

import kotlinx.coroutines.CoroutineScope
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentReading
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.runtime.EventSink

internal class PlatformDriver(
    settings: NodeSettings,
    private val scope: CoroutineScope,
    private val events: EventSink
) {
    fun decode(content: DocumentContent): DocumentReading = TODO("$content")
    fun execute(effect: PlatformEffect): Unit = TODO("$effect $scope $events")
    fun close() = Unit
}
