package org.hibiscusproxy.standins.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.hibiscusproxy.standins.answers.standInJson

/**
 * A run of the load tool. Sends the workload at its planned times and writes a JSON line per second
 * and a summary.
 *
 * @param write writes a line of output
 */
class LoadRun(private val options: LoadOptions, private val write: (String) -> Unit) {
    private val recorder = LoadRecorder()
    private val seconds = ConcurrentLinkedQueue<LoadLine.Second>()
    private val finishedBookings = ConcurrentLinkedQueue<Pair<String, RequestOutcome>>()
    private val notRunRequests = ConcurrentLinkedQueue<String>()
    private val client = LoadClient(options, runId(), recorder, ::recordOutcome)

    /** Runs until the last request has ended and returns the summary. */
    fun execute(): LoadLine.Summary {
        val planned = Workload(options).arrivals().map { it to client.prepare(it) }
        val calls = if (options.burst > 0) planned.toList().asSequence() else planned
        client.warmUp()
        val startNanoseconds = System.nanoTime()
        val ticker = Executors.newSingleThreadScheduledExecutor()
        ticker.scheduleAtFixedRate(::writeSecond, 1, 1, TimeUnit.SECONDS)
        sendAll(calls, startNanoseconds)
        while (recorder.inProgress > 0) Thread.sleep(POLL_MILLISECONDS)
        stop(ticker)
        writeSecond()
        val elapsedSeconds = (System.nanoTime() - startNanoseconds) / NANOSECONDS_PER_SECOND
        val summary = recorder.summary(elapsedSeconds, checkExecutions())
        write(standInJson.encodeToString<LoadLine>(summary))
        options.plotFile?.let { LoadPlot(seconds.toList()).save(it) }
        client.close()
        return summary
    }

    private fun sendAll(
        calls: Sequence<Pair<Arrival, LoadClient.PreparedCall>>,
        startNanoseconds: Long,
    ) {
        for ((arrival, call) in calls) {
            val due = startNanoseconds + (arrival.atSeconds * NANOSECONDS_PER_SECOND).toLong()
            val wait = due - System.nanoTime()
            if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
            call.send(due)
        }
    }

    private fun stop(ticker: ScheduledExecutorService) {
        ticker.shutdown()
        ticker.awaitTermination(1, TimeUnit.SECONDS)
    }

    private fun writeSecond() {
        val line = recorder.takeSecond(seconds.size + 1)
        seconds += line
        write(standInJson.encodeToString<LoadLine>(line))
    }

    private fun recordOutcome(arrival: Arrival, outcome: RequestOutcome) {
        if (arrival is Arrival.Booking) {
            finishedBookings += client.idempotencyKeyOf(arrival) to outcome
        }
        val notRunRequestId = (outcome as? RequestOutcome.NotRun)?.requestId
        if (notRunRequestId != null) notRunRequests += notRunRequestId
    }

    private fun checkExecutions(): ExecutionCheck? {
        if (options.statsUrls.isEmpty()) return null
        val executions = HashMap<String, Int>()
        for (url in options.statsUrls) {
            // The counts of a worker that was killed are lost.
            val text = runCatching { client.get("$url/stats") }.getOrNull() ?: continue
            val stats = standInJson.decodeFromString<Executions>(text)
            stats.executions.forEach { (id, count) -> executions.merge(id, count, Int::plus) }
        }
        // An entry identifies an attempt by the request identifier, a dot and the attempt number.
        val executed = executions.keys + executions.keys.map { it.substringBeforeLast('.') }
        val notRunBookings =
            finishedBookings.filter { it.second is RequestOutcome.NotRun }.map { it.first }
        val completeBookings =
            finishedBookings.filter { it.second is RequestOutcome.Complete }.map { it.first }
        return ExecutionCheck(
            bookingsRunMoreThanOnce =
            finishedBookings.map { it.first }.filter { (executions[it] ?: 0) > 1 },
            runDespiteNotRun = (notRunBookings + notRunRequests).filter { it in executed },
            completeWithoutExecution = completeBookings.filter { it !in executions },
        )
    }

    @Serializable
    private data class Executions(val executions: Map<String, Int>)

    private fun runId(): String = "load-${options.seed}-${System.currentTimeMillis()}"

    private companion object {
        const val POLL_MILLISECONDS = 20L
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
