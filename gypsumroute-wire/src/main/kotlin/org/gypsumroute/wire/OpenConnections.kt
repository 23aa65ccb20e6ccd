package org.gypsumroute.wire

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.Job

/** Tracks the connections of a transport, each until its job completes. */
internal class OpenConnections {
    private val jobs = ConcurrentHashMap<PeerConnection, Job>()

    fun add(connection: PeerConnection, job: Job) {
        jobs[connection] = job
        job.invokeOnCompletion { jobs.remove(connection) }
    }

    /**
     * Closes all connections and returns their jobs, which complete when the connections have
     * ended.
     */
    fun closeAll(): List<Job> = jobs.map { (connection, job) -> job.also { connection.close() } }
}
