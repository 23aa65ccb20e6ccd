package org.gypsumroute.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import org.gypsumroute.api.ActionKey
import org.gypsumroute.api.Failure
import org.gypsumroute.api.LeaseId
import org.gypsumroute.api.RequestId
import org.gypsumroute.runtime.EventSink

/** One caller's request as the traffic threads see it: its body, its answer and its end. */
internal class Exchange(val request: RequestId, events: EventSink) {
    val answer = AnswerBuffer(request, events)

    /** Completes when the body may be read, or with the reason why not. */
    val bodyAccepted = CompletableDeferred<Either<Failure, Unit>>()

    /** Completes with the issued action key, or with the reason why there is none. */
    val actionKey = CompletableDeferred<Either<Failure, ActionKey>>()

    /** Completes when the front end has finished with the request. */
    val finished = CompletableDeferred<Unit>()

    /** The caller's body: the prompt's bytes, or the body of a plain call. */
    @Volatile
    var body: ByteArray = NO_BYTES

    /** The coroutine that writes to the caller; cancelled if it is stuck after a failure. */
    @Volatile
    var writer: Job? = null

    /** The leases whose answers were taken for this request. */
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

    /** Replaces the running upload, which may hang on a silent connection. */
    fun replaceUpload(job: Job) {
        upload.getAndSet(job)?.cancel()
    }

    fun releaseBody() {
        body = NO_BYTES
    }

    fun finish() {
        finished.complete(Unit)
        upload.getAndSet(null)?.cancel()
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
    }
}
