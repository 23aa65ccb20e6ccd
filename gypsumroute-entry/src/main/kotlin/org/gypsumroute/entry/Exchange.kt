package org.gypsumroute.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.CallerEvent
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.runtime.EventSink

/**
 * What the traffic threads share about one request of a caller: body, answer and outcome. [remove]
 * frees the id of the request.
 */
internal class Exchange(
    val request: RequestId,
    private val events: EventSink,
    private val remove: (Exchange) -> Unit
) {
    val answer = AnswerBuffer(request, events)

    /** Completes when the reducer lets the body be read, or with the failure if it refuses. */
    val bodyAccepted = CompletableDeferred<Either<Failure, Unit>>()

    /** Completes with the issued action key, or with the failure if none is issued. */
    val actionKey = CompletableDeferred<Either<Failure, ActionKey>>()

    /** Completes when the front end has closed the exchange. */
    val finished = CompletableDeferred<Unit>()

    /** The caller's body: the prompt's bytes, or the body of a plain call. */
    @Volatile
    var body: ByteArray = NO_BYTES

    /** The coroutine that serves the caller; cancelled if it is still writing after a failure. */
    @Volatile
    var writer: Job? = null

    /** The leases whose answers are or were read as the answer of this request. */
    val leases: MutableSet<LeaseId> = ConcurrentHashMap.newKeySet()

    private val upload = AtomicReference<Job?>()

    fun acceptBody() {
        bodyAccepted.complete(Unit.right())
    }

    fun fail(failure: Failure) {
        bodyAccepted.complete(failure.left())
        actionKey.complete(failure.left())
        answer.fail(failure)
    }

    /** Replaces and cancels the running upload, which may be stuck on a silent connection. */
    fun replaceUpload(job: Job) {
        upload.getAndSet(job)?.cancel()
    }

    /** Frees the body once no upload needs it again. */
    fun releaseBody() {
        body = NO_BYTES
    }

    /**
     * Reports [end], frees the id of the request and cancels the running upload. Called by the
     * front end once it needs nothing more of the exchange. Only the first call has an effect, as
     * the id may belong to another request afterwards.
     */
    fun close(end: CallerEvent) {
        if (finished.isCompleted) return
        events(end)
        finished.complete(Unit)
        remove(this)
        upload.getAndSet(null)?.cancel()
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
    }
}
