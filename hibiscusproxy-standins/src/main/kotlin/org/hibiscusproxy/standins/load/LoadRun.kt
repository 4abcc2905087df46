package org.hibiscusproxy.standins.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.hibiscusproxy.standins.answers.standInJson

/**
 * One run of the load tool: sends the workload at its planned times, writes a line each second and
 * a summary.
 *
 * @param write takes one line of output
 */
class LoadRun(private val options: LoadOptions, private val write: (String) -> Unit) {
    private val recorder = LoadRecorder()
    private val seconds = ConcurrentLinkedQueue<LoadLine.Second>()
    private val endedBookings = ConcurrentLinkedQueue<Pair<String, RequestOutcome>>()
    private val refusedRequests = ConcurrentLinkedQueue<String>()
    private val caller = LoadClient(options, runId(), recorder, ::remember)

    /** Runs to the end of the last request and returns the summary. */
    fun execute(): LoadLine.Summary {
        val planned = Workload(options).arrivals().map { it to caller.prepare(it) }
        val calls = if (options.burst > 0) planned.toList().asSequence() else planned
        caller.warmUp()
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
        caller.close()
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
        val line = recorder.second(seconds.size + 1)
        seconds += line
        write(standInJson.encodeToString<LoadLine>(line))
    }

    private fun remember(arrival: Arrival, outcome: RequestOutcome) {
        if (arrival is Arrival.Booking) endedBookings += caller.keyOf(arrival) to outcome
        val refused = (outcome as? RequestOutcome.NotRun)?.requestId
        if (refused != null) refusedRequests += refused
    }

    private fun checkExecutions(): ExecutionCheck? {
        if (options.statsUrls.isEmpty()) return null
        val executions = HashMap<String, Int>()
        for (url in options.statsUrls) {
            // A worker that was killed took its counts along.
            val text = runCatching { caller.get("$url/stats") }.getOrNull() ?: continue
            val stats = standInJson.decodeFromString<Executions>(text)
            stats.executions.forEach { (id, count) -> executions.merge(id, count, Int::plus) }
        }
        // Entries send an attempt to an engine as the request's identifier, a dot and a number.
        val executed = executions.keys + executions.keys.map { it.substringBeforeLast('.') }
        val refusedBookings =
            endedBookings.filter { it.second is RequestOutcome.NotRun }.map { it.first }
        val completeBookings =
            endedBookings.filter { it.second is RequestOutcome.Complete }.map { it.first }
        return ExecutionCheck(
            bookingsRunMoreThanOnce =
            endedBookings.map { it.first }.filter { (executions[it] ?: 0) > 1 },
            runDespiteNotRun = (refusedBookings + refusedRequests).filter { it in executed },
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
