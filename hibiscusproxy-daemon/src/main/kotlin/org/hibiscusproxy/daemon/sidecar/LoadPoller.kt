package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hibiscusproxy.admission.TargetReport

/** Reads the target's own load report, which lags. Targets without one are left alone. */
internal class LoadPoller(private val calls: TargetCalls) {
    @Serializable
    private data class Load(val running: Int = 0, val waiting: Int = 0, val cold: Boolean = false)

    /** Blocks for up to a second. Returns null when the target gave no usable report. */
    fun poll(): TargetReport? {
        val text = calls.fetch("GET", "/load", LIMIT) ?: return null
        return try {
            val load = JSON.decodeFromString<Load>(text)
            TargetReport(load.running, load.waiting, warm = !load.cold)
        } catch (_: SerializationException) {
            null
        }
    }

    private companion object {
        val LIMIT = 1.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
