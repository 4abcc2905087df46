package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import org.hibiscusproxy.daemon.timeline.EventFileReader
import org.hibiscusproxy.timeline.FleetEvent

/** Events that all processes, including killed ones, have written to the deployment [folder]. */
internal class FleetEvents(folder: Path) {
    private val events: List<FleetEvent> =
        folder.resolve("events").listDirectoryEntries("*.jsonl").flatMap { file ->
            EventFileReader.read(file).getOrElse { error("$it") }.map { it.event }
        }

    /** Number of attempts that sidecars started, by request identifier. */
    fun attemptsByRequest(): Map<String, Int> =
        startedAttempts().groupingBy { it.request.value }.eachCount()

    /** Average number of started attempts per request that entries received. */
    fun attemptsPerRequest(): Double {
        val received = events.count { it is FleetEvent.RequestReceived }
        return startedAttempts().size.toDouble() / received
    }

    /** Number of requests whose answers entries recorded as complete. */
    fun answeredRequests(): Int = events.count { it is FleetEvent.RequestAnswered }

    /** Identifiers of requests with a started attempt that was not reported as not run. */
    fun executedRequests(): Set<String> {
        val notRun = events.filterIsInstance<FleetEvent.AttemptNotRun>().map { it.attempt }.toSet()
        return startedAttempts().filterNot { it in notRun }.map { it.request.value }.toSet()
    }

    private fun startedAttempts() =
        events.filterIsInstance<FleetEvent.AttemptStarted>().map { it.attempt }
}
