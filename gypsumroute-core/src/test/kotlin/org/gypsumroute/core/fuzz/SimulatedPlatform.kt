package org.gypsumroute.core.fuzz

import arrow.core.right
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.EncodedDocument
import org.gypsumroute.api.HostRecord
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.api.ServiceId

/** The configuration service, which can be down or serve old documents, and the host list. */
internal class SimulatedPlatform {
    private val history = mutableMapOf<ServiceId, MutableList<EncodedDocument>>()
    private val watchers = mutableListOf<SimulatedProcess>()
    private val hostReaders = mutableListOf<SimulatedProcess>()
    private val lastRead = mutableMapOf<SimulatedProcess, Int>()
    private var changes = 0
    private val knownHosts = mutableMapOf<SimulatedProcess, List<HostRecord>>()
    var hosts: List<HostRecord> = emptyList()
        private set
    var down = false
        private set
    var stale = false

    fun publish(document: EncodedDocument) {
        history.getOrPut(document.document.service) { mutableListOf() } += document
        changes++
        if (!down && !stale) endWatches()
    }

    fun newest(service: ServiceId): EncodedDocument? = history[service]?.maxByOrNull { it.stamp }

    /** The published document with this content. */
    fun decode(content: DocumentContent): EncodedDocument =
        history.values.flatten().first { it.content == content }

    fun changeHosts(changed: List<HostRecord>) {
        hosts = changed
        val waiting = hostReaders.toList()
        hostReaders.clear()
        waiting.forEach { answerHosts(it) }
    }

    fun execute(process: SimulatedProcess, effect: PlatformEffect) {
        when (effect) {
            PlatformEffect.ReadDocuments -> answerRead(process)
            PlatformEffect.WatchDocuments -> watch(process)
            PlatformEffect.ReadHosts -> answerHosts(process)
        }
    }

    /**
     * Answers a watch at once if anything changed since the last read, so that no change is
     * missed.
     */
    private fun watch(process: SimulatedProcess) {
        val behind = !stale && lastRead[process] != changes
        if (down || behind) answerRead(process) else watchers += process
    }

    /** Takes the service down, which ends all watches. */
    fun takeDown() {
        down = true
        endWatches()
    }

    /** Brings the service up with current documents; open watches end, as long polls time out. */
    fun recover() {
        down = false
        stale = false
        endWatches()
    }

    fun removeProcess(process: SimulatedProcess) {
        watchers.remove(process)
        hostReaders.remove(process)
        knownHosts.remove(process)
        lastRead.remove(process)
    }

    private fun endWatches() {
        val waiting = watchers.toList()
        watchers.clear()
        waiting.forEach { answerRead(it) }
    }

    private fun answerRead(process: SimulatedProcess) {
        if (!down) {
            if (!stale) lastRead[process] = changes
            for (documents in history.values) {
                val served = if (stale) documents.first() else documents.maxBy { it.stamp }
                process.offerLater(PlatformEvent.DocumentRead(null, served.right()))
            }
        }
        process.offerLater(PlatformEvent.ConfigurationReadEnded(!down))
    }

    private fun answerHosts(process: SimulatedProcess) {
        if (knownHosts[process] == hosts) {
            hostReaders += process
        } else {
            knownHosts[process] = hosts
            process.offerLater(PlatformEvent.HostsRead(hosts))
        }
    }
}
