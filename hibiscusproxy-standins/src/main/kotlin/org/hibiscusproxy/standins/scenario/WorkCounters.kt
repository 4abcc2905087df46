package org.hibiscusproxy.standins.scenario

import java.util.concurrent.TimeUnit
import kotlinx.serialization.Serializable
import okhttp3.OkHttpClient
import okhttp3.Request
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.engine.EngineLoad

/** Reads from the workers themselves how much work they began. */
class WorkCounters(private val deployment: Deployment) : AutoCloseable {
    @Serializable
    private data class Counts(
        val started: Long = 0,
        val requests: Long = 0,
        val fallOvers: Long = 0,
        val executions: Map<String, Int> = emptyMap(),
    )

    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_SECONDS, TimeUnit.SECONDS)
        .build()

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

    /** Times that engines fell over, over all engines that answer. */
    fun fallOvers(): Long = deployment.workers.filter { it.isEngine }
        .sumOf { worker -> runCatching { counts(worker).fallOvers }.getOrDefault(0L) }

    /** Running and waiting requests of each engine that answers, read one after the other. */
    fun engineLoads(): List<Int> = deployment.workers.filter { it.isEngine }.mapNotNull {
        runCatching {
            val load = standInJson.decodeFromString<EngineLoad>(get("http://${it.address}/load"))
            load.running + load.waiting
        }.getOrNull()
    }

    /** Sum of the counter [name] in the metrics page at [url]; 0 when it is not there. */
    fun metric(url: String, name: String): Double = runCatching { get("$url/metrics") }
        .getOrDefault("").lines()
        .filter { it.startsWith(name) }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun counts(worker: Deployment.Worker): Counts =
        standInJson.decodeFromString(Counts.serializer(), get("http://${worker.address}/stats"))

    private fun get(url: String): String =
        client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

    private companion object {
        const val CALL_SECONDS = 5L
    }
}
