/*
 * The requests that the fleet property sends.
 */
package org.gypsumroute.core.fuzz

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Bytes
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.PrefixDigest
import org.gypsumroute.api.RequestId
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.Tokens

internal const val MENU = "menu-writer"
internal const val DESK = "order-desk"
internal const val KEY_DIGEST = "digest-1"
internal const val ORDER_PATH = "orders"

/** Sends a prompt; the caller waits for [timeout]. */
internal fun Fleet.sendPrompt(entry: EntryProcess, tokens: Long, timeout: Duration) =
    send(entry, timeout) {
        CallerEvent.GenerationArrived(
            request = it,
            service = ServiceId(MENU),
            keyDigest = KEY_DIGEST,
            promptTokens = Tokens(tokens),
            bodyBytes = Bytes(tokens * BYTES_PER_TOKEN),
            outputLimit = Tokens(OUTPUT_TOKENS),
            timeout = timeout,
            prefix = PrefixDigest(tokens)
        )
    }

/** Asks for an action key; `Fleet.keys` receives it. */
internal fun Fleet.requestActionKey(entry: EntryProcess) = send(entry, ACTION_TIMEOUT) {
    CallerEvent.ActionKeyWanted(it, ServiceId(DESK), KEY_DIGEST, ACTION_TIMEOUT)
}

/** Places an order with a key that may have been used before. */
internal fun Fleet.placeOrder(entry: EntryProcess, key: ActionKey) = send(entry, ACTION_TIMEOUT) {
    CallerEvent.CallArrived(
        request = it,
        service = ServiceId(DESK),
        keyDigest = KEY_DIGEST,
        path = ORDER_PATH,
        bodyBytes = Bytes(BYTES_PER_TOKEN),
        timeout = ACTION_TIMEOUT,
        actionKey = key
    )
}

private fun Fleet.send(
    entry: EntryProcess,
    timeout: Duration,
    arrival: (RequestId) -> CallerEvent
) {
    if (!entry.alive) return
    val request = RequestId("request-${requestCount++}")
    entry.deliver {
        oracle.requestSent(request, entry.record.host, schedule.now + timeout + UPLOAD_TIME)
        entry.request(request, arrival(request), KEY_DIGEST)
    }
}

private val ACTION_TIMEOUT = 10.seconds

// Added to the timeout, because a deadline counts from the arrival of the complete body.
private val UPLOAD_TIME = 50.milliseconds
private const val OUTPUT_TOKENS = 64L
private const val BYTES_PER_TOKEN = 4L
