package org.hibiscusproxy.standins.scenario

import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.standins.deployment.Deployment
import org.hibiscusproxy.standins.deployment.DeploymentFolder
import org.hibiscusproxy.standins.deployment.ProcessFleet
import org.hibiscusproxy.standins.load.LoadLine
import org.hibiscusproxy.standins.load.LoadOptions
import org.hibiscusproxy.standins.load.LoadRun

/**
 * Runs one scenario against real processes, with a fault proxy on each link.
 *
 * @param folder empty folder for settings, data and logs
 * @param report takes one line for each step
 */
class ScenarioRunner(
    private val folder: Path,
    private val basePort: Int,
    private val report: (String) -> Unit,
) : AutoCloseable {
    private val links = FaultLinks()
    private val marks = HashMap<String, Map<String, Long>>()
    private lateinit var deployment: Deployment
    private lateinit var plan: DeploymentFolder
    private lateinit var fleet: ProcessFleet
    private lateinit var counters: WorkCounters
    private lateinit var operator: ScenarioOperator
    private var load: CompletableFuture<LoadLine.Summary>? = null
    private var summary: LoadLine.Summary? = null

    /** Runs all steps; throws [ScenarioFailure] at the first one that fails. */
    fun run(scenario: Scenario) {
        val start = TimeSource.Monotonic.markNow()
        for ((line, step) in scenario.steps) {
            val seconds = start.elapsedNow().toDouble(DurationUnit.SECONDS)
            report("%7.2f s  line %d: %s".format(seconds, line, step))
            try {
                execute(step)
            } catch (failure: IllegalStateException) {
                throw ScenarioFailure(scenario.name, line, failure.message.orEmpty(), failure)
            }
        }
    }

    override fun close() {
        if (::fleet.isInitialized) fleet.close()
        if (::counters.isInitialized) counters.close()
        if (::operator.isInitialized) operator.close()
        links.close()
    }

    private fun execute(step: ScenarioStep) {
        when (step) {
            is ScenarioStep.Fleet -> prepare(step)
            ScenarioStep.StartAll -> fleet.startAll()
            ScenarioStep.Publish -> publish()
            is ScenarioStep.Load -> startLoad(step)
            ScenarioStep.EndLoad -> endLoad()
            is ScenarioStep.Wait -> Thread.sleep(step.duration.inWholeMilliseconds)
            is ScenarioStep.Mark -> marks[step.name] = counters.begun()
            is ScenarioStep.Operate -> operate(step)
            is ScenarioStep.Race -> race(step.controllers)
            is ScenarioStep.Act -> act(step)
            is ScenarioStep.ExpectNoWork -> expectNoWork(step)
            is ScenarioStep.ExpectWork -> expectWork(step)
            is ScenarioStep.ExpectFigure -> expectFigure(step)
        }
    }

    private fun prepare(step: ScenarioStep.Fleet) {
        val builder = when (step.kind) {
            "skupaj" -> Deployment.skupaj()
            "volta" -> Deployment.volta()
            else -> Deployment.demonstration()
        }
        builder.basePort = basePort
        step.controllers?.let { builder.controllers = it }
        step.entries?.let { builder.entries = it }
        deployment = builder.build()
        plan = DeploymentFolder(deployment, folder, step.engineOptions, links)
        fleet = ProcessFleet(folder, plan.write())
        counters = WorkCounters(deployment)
        operator = ScenarioOperator(folder.resolve("fleet.key"), deployment.operatorAddresses)
    }

    private fun publish() {
        val outcome = operator.publish(plan.objects()).outcome
        check(outcome is ChangeOutcome.Accepted) { "objects not accepted: $outcome" }
        fleet.names.filter { it.startsWith("entry-") || it.startsWith("sidecar-") }
            .forEach { fleet.awaitReady(it) }
    }

    private fun startLoad(step: ScenarioStep.Load) {
        val options = LoadOptions(
            entries = deployment.entryAddresses.map { "http://$it" },
            rate = step.rate,
            durationSeconds = step.duration.toDouble(DurationUnit.SECONDS),
            answerTokens = step.answerTokens,
            model = deployment.model.value,
            streamShare = step.streamShare,
            bookingShare = step.bookingShare,
            bookingService = deployment.plainService.value,
            pauseSeconds = 1.0,
            timeoutSeconds = LOAD_TIMEOUT.toDouble(DurationUnit.SECONDS),
        )
        summary = null
        load = CompletableFuture.supplyAsync { LoadRun(options) { }.execute() }
    }

    private fun endLoad() {
        val running = checkNotNull(load) { "no load runs" }
        val result = running.get(LOAD_WAIT.inWholeSeconds, TimeUnit.SECONDS)
        summary = result
        report("           load: ${result.outcomes}, first token ${result.durations.firstToken}")
        result.examples.forEach { report("           $it") }
    }

    private fun operate(step: ScenarioStep.Operate) {
        val collection = when (step.subject) {
            ScenarioStep.Subject.DATA_CENTER -> "data-centers"
            ScenarioStep.Subject.TARGET -> "targets"
        }
        val start = TimeSource.Monotonic.markNow()
        val result = operator.operate(collection, step.name, step.isOut)
        report("           effective: ${result.progress?.isInForce} after ${start.elapsedNow()}")
    }

    /** Exactly one of several changes with the same base version may win. */
    private fun race(controllers: List<String>) {
        val basedOn = operator.state().version
        val outcomes = controllers.mapIndexed { number, name ->
            val index = deployment.controllerNames.indexOf(name)
            check(index >= 0) { "no such controller: $name" }
            val team = Team(TeamName("race-$basedOn-$number"))
            val objects = plan.objects().let { it.copy(teams = it.teams + team) }
            CompletableFuture.supplyAsync {
                operator.publishThrough(index, objects, basedOn).outcome
            }
        }.map { it.get() }
        val winners = outcomes.count { it is ChangeOutcome.Accepted }
        report("           outcomes: $outcomes")
        check(winners == 1) { "expected one winner: $outcomes" }
    }

    private fun act(step: ScenarioStep.Act) {
        when (step.action) {
            ScenarioStep.ProcessAction.KILL -> fleet.kill(step.process)
            ScenarioStep.ProcessAction.START -> fleet.start(step.process)
            ScenarioStep.ProcessAction.FREEZE -> fleet.freeze(step.process)
            ScenarioStep.ProcessAction.THAW -> fleet.thaw(step.process)
            ScenarioStep.ProcessAction.WIPE -> fleet.wipeDisk(step.process)
            ScenarioStep.ProcessAction.CUT -> links.cut(step.process)
            ScenarioStep.ProcessAction.HEAL -> links.heal(step.process)
            ScenarioStep.ProcessAction.TERMINATE -> {
                val exit = fleet.terminate(step.process)
                check(exit == 0) { "${step.process} ended with $exit instead of 0" }
            }
        }
    }

    private fun expectNoWork(step: ScenarioStep.ExpectNoWork) {
        val before = checkNotNull(marks[step.mark]) { "no mark ${step.mark}" }
        val began = counters.begunAt(step.place, counters.begun()) -
            counters.begunAt(step.place, before)
        check(began <= 0) { "${step.place} began $began requests since ${step.mark}" }
    }

    private fun expectWork(step: ScenarioStep.ExpectWork) {
        val before = counters.begunAt(step.place, counters.begun())
        val deadline = TimeSource.Monotonic.markNow() + step.duration
        while (counters.begunAt(step.place, counters.begun()) <= before) {
            check(deadline.hasNotPassedNow()) { "${step.place} began no work in ${step.duration}" }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    private fun expectFigure(step: ScenarioStep.ExpectFigure) {
        val found = figure(step.figure, checkNotNull(summary) { "no load has ended" })
        val holds = when (step.comparison) {
            ScenarioStep.Comparison.AT_MOST -> found <= step.bound
            ScenarioStep.Comparison.AT_LEAST -> found >= step.bound
            ScenarioStep.Comparison.EQUAL -> found == step.bound
        }
        check(holds) { "${step.figure.word} is $found, not ${step.comparison.word} ${step.bound}" }
    }

    private fun figure(figure: ScenarioStep.Figure, summary: LoadLine.Summary): Double =
        when (figure) {
            ScenarioStep.Figure.SENT -> summary.started
            ScenarioStep.Figure.OK -> summary.outcomes.ok
            ScenarioStep.Figure.WRONG -> summary.outcomes.wrong
            ScenarioStep.Figure.BROKEN -> summary.outcomes.broken
            ScenarioStep.Figure.LOST -> summary.outcomes.lost
            ScenarioStep.Figure.NOT_RUN -> summary.outcomes.notRun.values.sum()
            ScenarioStep.Figure.UNKNOWN -> summary.outcomes.unknown.values.sum()
            ScenarioStep.Figure.DOUBLE -> counters.doubleExecutions()
        }.toDouble()

    private companion object {
        val LOAD_TIMEOUT: Duration = 30.seconds
        val LOAD_WAIT: Duration = 180.seconds
        val POLL: Duration = 100.milliseconds
    }
}
