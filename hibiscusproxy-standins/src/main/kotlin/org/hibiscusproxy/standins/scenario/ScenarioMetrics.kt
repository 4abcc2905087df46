package org.hibiscusproxy.standins.scenario

import java.nio.file.Path
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.deployment.ProcessFleet
import org.hibiscusproxy.standins.load.LoadLine

/** Computes metrics of the last load from its summary, the workers and the event files. */
internal class ScenarioMetrics(
    private val summary: LoadLine.Summary,
    private val counters: WorkCounters,
    private val deployment: Deployment,
    private val folder: Path,
    private val fleet: ProcessFleet,
    private val sampler: LoadSampler?,
) {
    /** Returns the current value of [metric]. */
    fun value(metric: ScenarioStep.Metric): Double = when (metric) {
        ScenarioStep.Metric.SENT -> summary.started
        ScenarioStep.Metric.OK -> summary.outcomes.ok
        ScenarioStep.Metric.WRONG -> summary.outcomes.wrong
        ScenarioStep.Metric.BROKEN -> summary.outcomes.broken
        ScenarioStep.Metric.LOST -> summary.outcomes.lost
        ScenarioStep.Metric.NOT_RUN -> summary.outcomes.notRun.values.sum()
        ScenarioStep.Metric.UNKNOWN -> summary.outcomes.unknown.values.sum()
        ScenarioStep.Metric.DOUBLE_BOOKINGS -> counters.doubleExecutions()
        ScenarioStep.Metric.RAN_DESPITE_NOT_RUN -> executions().runDespiteNotRun.size
        ScenarioStep.Metric.COMPLETE_WITHOUT_EXECUTION -> executions().completeWithoutExecution.size
        ScenarioStep.Metric.DEAD_ENGINES -> engines().count { !fleet.isRunning(it) }
        ScenarioStep.Metric.FALL_OVERS -> counters.fallOvers()
        ScenarioStep.Metric.ATTEMPTS_PER_REQUEST -> FleetEvents(folder).attemptsPerRequest()
        ScenarioStep.Metric.MAXIMUM_ATTEMPTS ->
            FleetEvents(folder).attemptsByRequest().values.maxOrNull() ?: 0
        ScenarioStep.Metric.ABOVE_BOUND ->
            checkNotNull(sampler) { "no load was started" }.result.largestExcess
        ScenarioStep.Metric.INCOMPLETE_ANSWERS ->
            FleetEvents(folder).answeredRequests() - summary.outcomes.ok
        ScenarioStep.Metric.DROPPED_ANSWERS -> droppedAnswers()
    }.toDouble()

    private fun executions() =
        checkNotNull(summary.executions) { "the load did not check executions" }

    private fun engines(): List<String> =
        deployment.workers.filter { it.isEngine }.map { it.name.value }

    private fun droppedAnswers(): Double = List(deployment.entries) { index ->
        val address = deployment.address(Deployment.ENTRY_ADMINISTRATION_OFFSET + index)
        counters.metric("http://$address", "hibiscus_entry_dropped")
    }.sum()
}
