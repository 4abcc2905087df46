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
 * Runs one scenario against real processes, with a fault-injecting proxy on each link.
 *
 * @param folder empty folder for settings, data and logs
 * @param report receives the lines of the progress report
 */
class ScenarioRunner(
    private val folder: Path,
    private val basePort: Int,
    private val report: (String) -> Unit,
) : AutoCloseable {
    private val links = FaultLinks()
    private val marks = HashMap<String, Map<String, Long>>()
    private lateinit var deployment: Deployment
    private lateinit var deploymentFolder: DeploymentFolder
    private lateinit var fleet: ProcessFleet
    private lateinit var counters: WorkCounters
    private lateinit var operator: ScenarioOperator
    private lateinit var changes: FleetChanges
    private var load: CompletableFuture<LoadLine.Summary>? = null
    private var summary: LoadLine.Summary? = null
    private var sampler: LoadSampler? = null

    /** Runs all steps; throws [ScenarioFailure] when one fails. */
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
            is ScenarioStep.Fleet -> createFleet(step)
            ScenarioStep.StartAll -> fleet.startAll()
            ScenarioStep.Publish -> publish()
            is ScenarioStep.Load -> startLoad(step)
            ScenarioStep.EndLoad -> endLoad()
            is ScenarioStep.Wait -> Thread.sleep(step.duration.inWholeMilliseconds)
            is ScenarioStep.Mark -> marks[step.name] = counters.startedByWorker()
            is ScenarioStep.SetState -> setState(step)
            is ScenarioStep.Race -> race(step.controllers)
            is ScenarioStep.ControlProcesses -> controlProcesses(step)
            is ScenarioStep.Partition -> links.partition(step.processes.toSet())
            is ScenarioStep.Delay -> links.delay(step.process, step.delay, step.jitter)
            is ScenarioStep.PublishChanges -> changes.publish(step.count)
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

    private fun createFleet(step: ScenarioStep.Fleet) {
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
        deploymentFolder = DeploymentFolder(deployment, folder, step.engineOptions, links)
        fleet = ProcessFleet(folder, deploymentFolder.write())
        counters = WorkCounters(deployment)
        operator = ScenarioOperator(folder.resolve("fleet.key"), deployment.operatorAddresses)
        changes = FleetChanges(deploymentFolder.objects(), operator, fleet, report)
    }

    private fun publish() {
        val outcome = operator.publish(deploymentFolder.objects()).outcome
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
            timeoutSeconds = REQUEST_TIMEOUT.toDouble(DurationUnit.SECONDS),
        )
        summary = null
        sampler?.close()
        sampler = LoadSampler(deployment, counters)
        load = CompletableFuture.supplyAsync { LoadRun(options) { }.execute() }
    }

    private fun endLoad() {
        val running = checkNotNull(load) { "no load was started" }
        val result = running.get(LOAD_END_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
        summary = result
        sampler?.close()
        report("           load: ${result.outcomes}, first token ${result.durations.firstToken}")
        result.executions?.let { report("           executions: $it") }
        sampler?.let { report("           ${it.result}") }
        result.examples.forEach { report("           $it") }
    }

    private fun setState(step: ScenarioStep.SetState) {
        val collection = when (step.subject) {
            ScenarioStep.Subject.DATA_CENTER -> "data-centers"
            ScenarioStep.Subject.TARGET -> "targets"
        }
        val start = TimeSource.Monotonic.markNow()
        val result = operator.setState(collection, step.name, step.isOut)
        val isEffective = result.progress?.isInForce
        report("           change effective: $isEffective after ${start.elapsedNow()}")
    }

    /** Checks that exactly one of several concurrent changes to one version is accepted. */
    private fun race(controllers: List<String>) {
        val basedOn = operator.state().version
        val outcomes = controllers.mapIndexed { number, name ->
            val index = deployment.controllerNames.indexOf(name)
            check(index >= 0) { "unknown controller: $name" }
            val team = Team(TeamName("race-$basedOn-$number"))
            val objects = deploymentFolder.objects().let { it.copy(teams = it.teams + team) }
            CompletableFuture.supplyAsync {
                operator.publishThrough(index, objects, basedOn).outcome
            }
        }.map { it.get() }
        val accepted = outcomes.count { it is ChangeOutcome.Accepted }
        report("           outcomes: $outcomes")
        check(accepted == 1) { "expected one accepted change, found $accepted: $outcomes" }
    }

    private fun controlProcesses(step: ScenarioStep.ControlProcesses) {
        when (step.action) {
            ScenarioStep.ProcessAction.KILL -> step.processes.forEach(fleet::kill)

            ScenarioStep.ProcessAction.START -> {
                step.processes.forEach(fleet::launch)
                step.processes.forEach { fleet.awaitHealthy(it, START_TIMEOUT) }
            }

            ScenarioStep.ProcessAction.FREEZE -> step.processes.forEach(fleet::freeze)
            ScenarioStep.ProcessAction.THAW -> step.processes.forEach(fleet::thaw)
            ScenarioStep.ProcessAction.WIPE -> step.processes.forEach {
                changes.recordLostIdentity(it)
                fleet.deleteDataFolder(it)
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
        check(exits.all { it.second == 0 }) { "not all processes exited with code 0: $exits" }
    }

    private fun killAtRandom(step: ScenarioStep.KillAtRandom) {
        val random = Random(step.seed)
        repeat(step.count) {
            Thread.sleep(random.nextLong(MAXIMUM_KILL_INTERVAL.inWholeMilliseconds))
            val name = step.processes.random(random)
            report("           killing $name")
            fleet.kill(name)
            fleet.start(name)
        }
    }

    private fun poison(count: Int) {
        val replies = PoisonCaller(deployment).send(count)
        replies.forEach { report("           $it") }
        Thread.sleep(EVENT_FLUSH_TIME.inWholeMilliseconds)
        val executed = FleetEvents(folder).executedRequests()
        val wronglyRefused = replies.mapNotNull { it.refusedRequest }.filter { it in executed }
        check(wronglyRefused.isEmpty()) {
            "requests ran but were refused as not run: $wronglyRefused"
        }
    }

    private fun expectState(step: ScenarioStep.ExpectState) {
        val state = operator.state()
        val isOut = state.dataCentersOut.any { it.value == step.name } ||
            state.targetsOut.any { it.value == step.name }
        check(isOut == step.isOut) { "${step.name} is ${if (isOut) "out" else "in"} in $state" }
    }

    private fun expectNoWork(step: ScenarioStep.ExpectNoWork) {
        val before = checkNotNull(marks[step.mark]) { "unknown mark: ${step.mark}" }
        val started = counters.startedIn(step.scope, counters.startedByWorker()) -
            counters.startedIn(step.scope, before)
        check(started <= 0) { "${step.scope} started $started requests since ${step.mark}" }
    }

    private fun expectWork(step: ScenarioStep.ExpectWork) {
        val before = counters.startedIn(step.scope, counters.startedByWorker())
        val deadline = TimeSource.Monotonic.markNow() + step.duration
        while (counters.startedIn(step.scope, counters.startedByWorker()) <= before) {
            check(deadline.hasNotPassedNow()) {
                "${step.scope} started no request within ${step.duration}"
            }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun expectMetric(step: ScenarioStep.ExpectMetric) {
        val loadSummary = checkNotNull(summary) { "no load has ended" }
        val metrics = ScenarioMetrics(loadSummary, counters, deployment, folder, fleet, sampler)
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
        val REQUEST_TIMEOUT: Duration = 30.seconds
        val LOAD_END_TIMEOUT: Duration = 180.seconds
        val START_TIMEOUT: Duration = 30.seconds

        // Processes write event files asynchronously.
        val EVENT_FLUSH_TIME: Duration = 1.seconds
        val MAXIMUM_KILL_INTERVAL: Duration = 900.milliseconds
        val POLL_INTERVAL: Duration = 100.milliseconds
    }
}
