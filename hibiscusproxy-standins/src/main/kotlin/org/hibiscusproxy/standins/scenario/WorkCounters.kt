package org.hibiscusproxy.standins.scenario

import kotlinx.serialization.Serializable
import okhttp3.OkHttpClient
import okhttp3.Request
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.deployment.Deployment

/** Reads from the workers themselves how much work they began. */
class WorkCounters(private val deployment: Deployment) : AutoCloseable {
    @Serializable
    private data class Counts(
        val started: Long = 0,
        val requests: Long = 0,
        val executions: Map<String, Int> = emptyMap(),
    )

    private val client = OkHttpClient()

    /** Requests begun so far by each worker that answers, by name. */
    fun begun(): Map<String, Long> = buildMap {
        for (worker in deployment.workers) {
            val counts = runCatching { counts(worker) }.getOrNull() ?: continue
            put(worker.name.value, counts.started + counts.requests)
        }
    }

    /** Requests begun by the workers of [place], a data centre or a target. */
    fun begunAt(place: String, begun: Map<String, Long>): Long {
        val names = deployment.workers
            .filter { it.dataCenter.value == place || it.name.value == place }
            .map { it.name.value }
        require(names.isNotEmpty()) { "no such data centre or target: $place" }
        return names.sumOf { begun[it] ?: 0 }
    }

    /** Bookings that ran more than once, over all instances of the plain service. */
    fun doubleExecutions(): Long = deployment.workers
        .filterNot { it.isEngine }
        .flatMap { counts(it).executions.entries }
        .groupBy({ it.key }, { it.value })
        .count { (_, counts) -> counts.sum() > 1 }
        .toLong()

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun counts(worker: Deployment.Worker): Counts {
        val request = Request.Builder().url("http://${worker.address}/stats").build()
        return client.newCall(request).execute().use { response ->
            standInJson.decodeFromString(Counts.serializer(), response.body.string())
        }
    }
}
