package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import org.hibiscusproxy.daemon.timeline.EventFileReader
import org.hibiscusproxy.timeline.FleetEvent

/** The events that all processes wrote to the deployment [folder] so far, killed ones included. */
internal class FleetEvents(folder: Path) {
    private val events: List<FleetEvent> =
        folder.resolve("events").listDirectoryEntries("*.jsonl").flatMap { file ->
            EventFileReader.read(file).getOrElse { error("$it") }.map { it.event }
        }

    /** Attempts that sidecars started, by request. */
    fun attempts(): Map<String, Int> = started().groupingBy { it.request.value }.eachCount()

    /** Started attempts per request that entries received. */
    fun attemptsPerRequest(): Double {
        val received = events.count { it is FleetEvent.RequestReceived }
        return started().size.toDouble() / received
    }

    /** Requests whose answers entries passed on as complete. */
    fun answered(): Int = events.count { it is FleetEvent.RequestAnswered }

    /** Requests of which an attempt was sent to its target and not reported as not run. */
    fun requestsRun(): Set<String> {
        val notRun = events.filterIsInstance<FleetEvent.AttemptNotRun>().map { it.attempt }.toSet()
        return started().filterNot { it in notRun }.map { it.request.value }.toSet()
    }

    private fun started() = events.filterIsInstance<FleetEvent.AttemptStarted>().map { it.attempt }
}
