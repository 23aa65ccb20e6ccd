package org.gypsumroute.wire

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.Job

/** The connections of a transport that have not ended. */
internal class OpenConnections {
    private val jobs = ConcurrentHashMap<PeerConnection, Job>()

    fun add(connection: PeerConnection, job: Job) {
        jobs[connection] = job
        job.invokeOnCompletion { jobs.remove(connection) }
    }

    /** Closes all and returns what to wait for. */
    fun closeAll(): List<Job> = jobs.map { (connection, job) -> job.also { connection.close() } }
}
