package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hibiscusproxy.admission.TargetReport

/** Reads the load report of the target, which lags behind its actual load. */
internal class LoadPoller(private val client: TargetClient) {
    @Serializable
    private data class Load(val running: Int = 0, val waiting: Int = 0, val cold: Boolean = false)

    /** Blocks for up to [TIMEOUT]. Returns null if the target returned no valid report. */
    fun poll(): TargetReport? {
        val text = client.fetch("GET", "/load", TIMEOUT) ?: return null
        return try {
            val load = JSON.decodeFromString<Load>(text)
            TargetReport(load.running, load.waiting, warm = !load.cold)
        } catch (_: SerializationException) {
            null
        }
    }

    private companion object {
        val TIMEOUT = 1.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
