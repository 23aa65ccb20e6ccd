/*
 * Reads the configuration service and the host list. Documents are decoded here, so that the
 * control thread receives them decoded.
 */
package org.gypsumroute.process

import arrow.core.Either
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.gypsumroute.api.DocumentContent
import org.gypsumroute.api.DocumentDecodeResult
import org.gypsumroute.api.PlatformEffect
import org.gypsumroute.api.PlatformEvent
import org.gypsumroute.clients.ConfigurationClient
import org.gypsumroute.clients.ConfigurationListing
import org.gypsumroute.clients.DocumentYamlCodec
import org.gypsumroute.clients.HostListClient
import org.gypsumroute.runtime.EventSink

/** Executes platform effects. The reducers have at most one call of each kind in progress. */
internal class PlatformDriver(
    settings: NodeSettings,
    private val scope: CoroutineScope,
    private val events: EventSink
) : AutoCloseable {
    private val configuration = ConfigurationClient(addressOf(settings.configurationUrl))
    private val hostList = HostListClient(addressOf(settings.hostListUrl))
    private val knownEtags = ConcurrentHashMap<String, String>()

    @Volatile
    private var documentsSequence = 0L

    @Volatile
    private var hostsSequence = 0L

    fun decodeDocument(content: DocumentContent): DocumentDecodeResult =
        DocumentYamlCodec.decode(content.bytes)

    fun execute(effect: PlatformEffect) {
        scope.launch {
            when (effect) {
                is PlatformEffect.ReadDocuments -> reportReadEnded(
                    readChangedDocuments(configuration.list().getOrNull())
                )

                is PlatformEffect.WatchDocuments -> reportReadEnded(watchDocuments())

                is PlatformEffect.ReadHosts -> readHosts()
            }
        }
    }

    override fun close() {
        configuration.close()
        hostList.close()
    }

    private fun reportReadEnded(succeeded: Boolean) =
        events(PlatformEvent.ConfigurationReadEnded(succeeded))

    private suspend fun watchDocuments(): Boolean =
        when (val change = configuration.watch(documentsSequence)) {
            is Either.Left -> false
            is Either.Right -> change.value?.let { readChangedDocuments(it) } ?: noteQuietPoll()
        }

    private suspend fun noteQuietPoll(): Boolean {
        delay(QUIET_POLL_PAUSE)
        return true
    }

    private suspend fun readChangedDocuments(listing: ConfigurationListing?): Boolean {
        if (listing == null) return false
        val changed = listing.documents.filter { knownEtags[it.name] != it.etag }
        val complete = changed.map { readDocument(it.name, it.etag) }.all { it }
        if (complete) documentsSequence = listing.sequence
        return complete
    }

    private suspend fun readDocument(name: String, etag: String): Boolean {
        val bytes = configuration.read(name).getOrNull() ?: return false
        events(PlatformEvent.DocumentRead(null, DocumentYamlCodec.decode(bytes)))
        knownEtags[name] = etag
        return true
    }

    private suspend fun readHosts() {
        var listing = hostList.read(hostsSequence)
        while (listing.isRight() && listing.getOrNull() == null) {
            delay(QUIET_POLL_PAUSE)
            listing = hostList.read(hostsSequence)
        }
        when (listing) {
            is Either.Left -> {
                // A host list that has restarted counts its sequence from the beginning again.
                hostsSequence = 0
                events(PlatformEvent.HostsUnavailable(listing.value.cause))
            }

            is Either.Right -> listing.value?.let {
                hostsSequence = it.sequence
                events(PlatformEvent.HostsRead(it.hosts))
            }
        }
    }

    private companion object {
        /** A service may answer that nothing changed without waiting for a change. */
        val QUIET_POLL_PAUSE = 100.milliseconds
    }
}
