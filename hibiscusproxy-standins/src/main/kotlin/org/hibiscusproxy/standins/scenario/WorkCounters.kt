package org.hibiscusproxy.standins.scenario

import java.util.concurrent.TimeUnit
import kotlinx.serialization.Serializable
import okhttp3.OkHttpClient
import okhttp3.Request
import org.hibiscusproxy.standins.answers.standInJson
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.engine.EngineLoad

/** Reads work counters from the workers, independently of entries and sidecars. */
class WorkCounters(private val deployment: Deployment) : AutoCloseable {
    @Serializable
    private data class Counts(
        val started: Long = 0,
        val requests: Long = 0,
        val fallOvers: Long = 0,
        val executions: Map<String, Int> = emptyMap(),
    )

    private val client = OkHttpClient.Builder()
        .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .build()

    /** Number of requests started by each reachable worker, by name. */
    fun startedByWorker(): Map<String, Long> = buildMap {
        for (worker in deployment.workers) {
            val counts = runCatching { counts(worker) }.getOrNull() ?: continue
            put(worker.name.value, counts.started + counts.requests)
        }
    }

    /** Sum of the [started] requests of the workers of [scope], a data centre or target. */
    fun startedIn(scope: String, started: Map<String, Long>): Long {
        val names = deployment.workers
            .filter { it.dataCenter.value == scope || it.name.value == scope }
            .map { it.name.value }
        require(names.isNotEmpty()) { "no such data centre or target: $scope" }
        return names.sumOf { started[it] ?: 0 }
    }

    /** Number of bookings executed more than once, over all instances of the plain service. */
    fun doubleExecutions(): Long = deployment.workers
        .filterNot { it.isEngine }
        .flatMap { counts(it).executions.entries }
        .groupBy({ it.key }, { it.value })
        .count { (_, counts) -> counts.sum() > 1 }
        .toLong()

    /** Number of failures under too much cold work, over all reachable engines. */
    fun fallOvers(): Long = deployment.workers.filter { it.isEngine }
        .sumOf { worker -> runCatching { counts(worker).fallOvers }.getOrDefault(0L) }

    /** Running plus waiting requests of each reachable engine, read one after the other. */
    fun engineLoads(): List<Int> = deployment.workers.filter { it.isEngine }.mapNotNull {
        runCatching {
            val load = standInJson.decodeFromString<EngineLoad>(get("http://${it.address}/load"))
            load.running + load.waiting
        }.getOrNull()
    }

    /** Sum of the meters whose names start with [name] at [url]; 0 when there are none. */
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
        const val CALL_TIMEOUT_SECONDS = 5L
    }
}
