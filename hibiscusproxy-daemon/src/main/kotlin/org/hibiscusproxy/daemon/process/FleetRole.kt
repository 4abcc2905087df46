package org.hibiscusproxy.daemon.process

import kotlin.time.Duration

/** One role of a process: entry, sidecar or controller. */
interface FleetRole : AutoCloseable {
    /** Name for logs and the readiness page. */
    val name: String

    /** Whether the role can take new work now. */
    val isReady: Boolean

    /** Work in progress, as requests. */
    val inProgress: Int

    /** Opens listeners and connections. */
    suspend fun start()

    /**
     * Takes no new work and waits until what is in progress has finished or [timeout] has passed.
     *
     * @return requests that were still in progress at the end
     */
    suspend fun drain(timeout: Duration): Int

    /** Releases everything; work still in progress is cut off. */
    override fun close()
}
