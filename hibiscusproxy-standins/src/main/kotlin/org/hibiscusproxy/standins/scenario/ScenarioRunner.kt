package org.hibiscusproxy.standins.scenario

import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
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
    private lateinit var changes: FleetChanges
    private var load: CompletableFuture<LoadLine.Summary>? = null
    private var summary: LoadLine.Summary? = null
    private var sampler: LoadSampler? = null

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
        sampler?.close()
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
            is ScenarioStep.Partition -> links.partition(step.processes.toSet())
            is ScenarioStep.Delay -> links.delay(step.process, step.delay, step.jitter)
            is ScenarioStep.Change -> changes.publish(step.count)
            is ScenarioStep.KillLeader -> changes.killLeaders(step)
            is ScenarioStep.KillAtRandom -> killAtRandom(step)
            is ScenarioStep.Poison -> poison(step.count)
            is ScenarioStep.Readmit -> changes.readmit(step.controller)
            is ScenarioStep.ExpectVoter -> changes.awaitVoter(step)
            is ScenarioStep.ExpectState -> expectState(step)
            is ScenarioStep.ExpectNoWork -> expectNoWork(step)
            is ScenarioStep.ExpectWork -> expectWork(step)
            is ScenarioStep.ExpectMetric -> expectMetric(step)
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
        step.coldCapacity?.let { builder.coldCapacity = it }
        builder.deadline = step.deadline
        deployment = builder.build()
        plan = DeploymentFolder(deployment, folder, step.engineOptions, links)
        fleet = ProcessFleet(folder, plan.write())
        counters = WorkCounters(deployment)
        operator = ScenarioOperator(folder.resolve("fleet.key"), deployment.operatorAddresses)
        changes = FleetChanges(plan.objects(), operator, fleet, report)
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
            burst = step.burst,
            bookingResends = step.resends,
            statsUrls = deployment.workers.map { "http://${it.address}" },
            timeoutSeconds = LOAD_TIMEOUT.toDouble(DurationUnit.SECONDS),
        )
        summary = null
        sampler?.close()
        sampler = LoadSampler(deployment, counters)
        load = CompletableFuture.supplyAsync { LoadRun(options) { }.execute() }
    }

    private fun endLoad() {
        val running = checkNotNull(load) { "no load runs" }
        val result = running.get(LOAD_WAIT.inWholeSeconds, TimeUnit.SECONDS)
        summary = result
        sampler?.close()
        report("           load: ${result.outcomes}, first token ${result.durations.firstToken}")
        result.executions?.let { report("           executions: $it") }
        sampler?.let { report("           ${it.result}") }
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
            ScenarioStep.ProcessAction.KILL -> step.processes.forEach(fleet::kill)

            ScenarioStep.ProcessAction.START -> {
                step.processes.forEach(fleet::launch)
                step.processes.forEach { fleet.awaitHealthy(it, START_TIME) }
            }

            ScenarioStep.ProcessAction.FREEZE -> step.processes.forEach(fleet::freeze)
            ScenarioStep.ProcessAction.THAW -> step.processes.forEach(fleet::thaw)
            ScenarioStep.ProcessAction.WIPE -> step.processes.forEach {
                changes.wiped(it)
                fleet.wipeDisk(it)
            }

            ScenarioStep.ProcessAction.CUT -> step.processes.forEach(links::cut)
            ScenarioStep.ProcessAction.STALL -> step.processes.forEach(links::stall)
            ScenarioStep.ProcessAction.HEAL -> step.processes.forEach(links::heal)
            ScenarioStep.ProcessAction.TERMINATE -> terminate(step.processes)
        }
    }

    private fun terminate(processes: List<String>) {
        val exits = processes
            .map { name -> name to CompletableFuture.supplyAsync { fleet.terminate(name) } }
            .map { (name, exit) -> name to exit.get() }
        check(exits.all { it.second == 0 }) { "not all ended with 0: $exits" }
    }

    private fun killAtRandom(step: ScenarioStep.KillAtRandom) {
        val random = Random(step.seed)
        repeat(step.count) {
            Thread.sleep(random.nextLong(LONGEST_PAUSE.inWholeMilliseconds))
            val name = step.processes.random(random)
            report("           kills $name")
            fleet.kill(name)
            fleet.start(name)
        }
    }

    private fun poison(count: Int) {
        val told = PoisonCaller(deployment).send(count)
        told.forEach { report("           $it") }
        Thread.sleep(EVENT_TIME.inWholeMilliseconds)
        val started = FleetEvents(folder).requestsRun()
        val ran = told.mapNotNull { it.refused }.filter { it in started }
        check(ran.isEmpty()) { "ran although refused as not run: $ran" }
    }

    private fun expectState(step: ScenarioStep.ExpectState) {
        val state = operator.state()
        val isOut = state.dataCentersOut.any { it.value == step.name } ||
            state.targetsOut.any { it.value == step.name }
        check(isOut == step.isOut) { "${step.name} is ${if (isOut) "out" else "in"} at $state" }
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

    private fun expectMetric(step: ScenarioStep.ExpectMetric) {
        val ended = checkNotNull(summary) { "no load has ended" }
        val metrics = ScenarioMetrics(ended, counters, deployment, folder, fleet, sampler)
        val value = metrics.value(step.metric)
        report("           ${step.metric.word} is $value")
        val holds = when (step.comparison) {
            ScenarioStep.Comparison.AT_MOST -> value <= step.bound
            ScenarioStep.Comparison.AT_LEAST -> value >= step.bound
            ScenarioStep.Comparison.EQUAL -> value == step.bound
        }
        check(holds) {
            "${step.metric.word} is $value, expected ${step.comparison.word} ${step.bound}"
        }
    }

    private companion object {
        val LOAD_TIMEOUT: Duration = 30.seconds
        val LOAD_WAIT: Duration = 180.seconds
        val START_TIME: Duration = 30.seconds

        // Processes write their events in the background.
        val EVENT_TIME: Duration = 1.seconds
        val LONGEST_PAUSE: Duration = 900.milliseconds
        val POLL: Duration = 100.milliseconds
    }
}
