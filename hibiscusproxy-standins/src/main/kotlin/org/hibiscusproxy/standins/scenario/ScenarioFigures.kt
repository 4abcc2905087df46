package org.hibiscusproxy.standins.scenario

import java.nio.file.Path
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.deployment.ProcessFleet
import org.hibiscusproxy.standins.load.LoadLine

/** Figures about the load that ended last, from its callers, the workers and the timeline. */
internal class ScenarioFigures(
    private val summary: LoadLine.Summary,
    private val counters: WorkCounters,
    private val deployment: Deployment,
    private val folder: Path,
    private val fleet: ProcessFleet,
    private val sampler: LoadSampler?,
) {
    /** The present value of [figure]. */
    fun value(figure: ScenarioStep.Figure): Double = when (figure) {
        ScenarioStep.Figure.SENT -> summary.started
        ScenarioStep.Figure.OK -> summary.outcomes.ok
        ScenarioStep.Figure.WRONG -> summary.outcomes.wrong
        ScenarioStep.Figure.BROKEN -> summary.outcomes.broken
        ScenarioStep.Figure.LOST -> summary.outcomes.lost
        ScenarioStep.Figure.NOT_RUN -> summary.outcomes.notRun.values.sum()
        ScenarioStep.Figure.UNKNOWN -> summary.outcomes.unknown.values.sum()
        ScenarioStep.Figure.DOUBLE -> counters.doubleExecutions()
        ScenarioStep.Figure.RAN_DESPITE_NOT_RUN -> executions().runDespiteNotRun.size
        ScenarioStep.Figure.NOT_EXECUTED -> executions().completeWithoutExecution.size
        ScenarioStep.Figure.DEAD_ENGINES -> engines().count { !fleet.isRunning(it) }
        ScenarioStep.Figure.FALL_OVERS -> counters.fallOvers()
        ScenarioStep.Figure.ATTEMPTS_PER_REQUEST -> FleetEvents(folder).attemptsPerRequest()
        ScenarioStep.Figure.MAXIMUM_ATTEMPTS -> FleetEvents(folder).attempts().values.maxOrNull()
            ?: 0
        ScenarioStep.Figure.ABOVE_BOUND -> checkNotNull(sampler) { "no load" }.result.aboveBound
        ScenarioStep.Figure.INCOMPLETE_ANSWERS ->
            FleetEvents(folder).answered() - summary.outcomes.ok
        ScenarioStep.Figure.DROPPED_ANSWERS -> droppedAnswers()
    }.toDouble()

    private fun executions() = checkNotNull(summary.executions) { "executions were not checked" }

    private fun engines(): List<String> =
        deployment.workers.filter { it.isEngine }.map { it.name.value }

    private fun droppedAnswers(): Double = List(deployment.entries) { index ->
        val address = deployment.address(Deployment.ENTRY_ADMINISTRATION_OFFSET + index)
        counters.metric("http://$address", "hibiscus_entry_dropped")
    }.sum()
}
