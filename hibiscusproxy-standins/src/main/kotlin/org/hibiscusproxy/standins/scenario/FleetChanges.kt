package org.hibiscusproxy.standins.scenario

import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.daemon.controller.MemberAction
import org.hibiscusproxy.daemon.controller.MemberBody
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.standins.deployment.ProcessFleet

/** Long sequences of changes, and what must be true of them afterwards. */
internal class FleetChanges(
    private val objects: FleetObjects,
    private val operator: ScenarioOperator,
    private val fleet: ProcessFleet,
    private val report: (String) -> Unit,
) {
    private val added = ArrayList<Team>()
    private val lost = HashMap<String, Long>()
    private var slowest = Duration.ZERO

    /** Publishes [count] changes, each of which adds a team, and checks that each took effect. */
    fun publish(count: Int) {
        val before = operator.state().version
        repeat(count) { publishNext(before + it) }
        checkState(before + count)
    }

    /** Kills leaders while one operator publishes, and compares the state with what it was told. */
    fun killLeaders(step: ScenarioStep.KillLeader) {
        val random = Random(step.seed)
        val before = operator.state().version
        val isOver = AtomicBoolean()
        val publisher = CompletableFuture.supplyAsync {
            var version = before
            while (!isOver.get()) publishNext(version++)
            version
        }
        repeat(step.count) { round ->
            Thread.sleep(random.nextLong(LONGEST_PAUSE.inWholeMilliseconds))
            val leader = leader()
            fleet.kill(leader)
            fleet.start(leader)
            report("           kill ${round + 1}: $leader")
            check(!publisher.isCompletedExceptionally) { "the operator failed" }
        }
        isOver.set(true)
        val version = publisher.get()
        report("           ${version - before} changes acknowledged, the slowest after $slowest")
        checkState(version)
    }

    /** Remembers the identity that [controller] is about to lose with its disk. */
    fun wiped(controller: String) {
        val members = await("a leader") { operator.leaderStatus() }.members
        members.find { it.process.value == controller }?.let { lost[controller] = it.identity }
    }

    /** Does what an operator does after the disk of [controller] was replaced. */
    fun readmit(controller: String) {
        val identity = await("a new identity of $controller") {
            operator.leaderStatus()?.strangers?.find { it.process.value == controller }?.identity
        }
        val name = ProcessName(controller)
        val steps = listOf(
            MemberBody(MemberAction.REMOVE, name),
            MemberBody(MemberAction.ADD, name, identity),
            MemberBody(MemberAction.PROMOTE, name),
        )
        for (step in steps) await("$step") { operator.member(step).takeIf { it } }
    }

    private fun <T : Any> await(what: String, read: () -> T?): T {
        val deadline = TimeSource.Monotonic.markNow() + ELECTION_TIME
        while (true) {
            read()?.let { return it }
            check(deadline.hasNotPassedNow()) {
                "$what: not after $ELECTION_TIME; ${operator.leaderStatus()}"
            }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    /** Waits until the leader's status lists a controller as a voter, not by its lost identity. */
    fun awaitVoter(step: ScenarioStep.ExpectVoter) {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val status = operator.leaderStatus()
            val member = status?.members?.find { it.process.value == step.controller }
            if (member?.isVoter == true && member.identity != lost[step.controller]) break
            check(start.elapsedNow() < step.duration) {
                "${step.controller} does not vote after ${step.duration}: $status"
            }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        report("           votes after ${start.elapsedNow()}: ${operator.leaderStatus()?.members}")
    }

    /** The acknowledged version must be the next one: a change applied twice would skip one. */
    private fun publishNext(basedOn: Long) {
        val team = Team(TeamName("change-${added.size + 1}"))
        val start = TimeSource.Monotonic.markNow()
        val next = objects.copy(teams = objects.teams + added + team)
        val outcome = operator.publishOnly(next, basedOn)
        slowest = maxOf(slowest, start.elapsedNow())
        check(outcome == ChangeOutcome.Accepted(basedOn + 1)) {
            "change on version $basedOn ended as $outcome"
        }
        added += team
    }

    private fun checkState(version: Long) {
        val state = operator.state()
        check(state.version == version) { "version is ${state.version} instead of $version" }
        val teams = objects.teams + added
        check(state.objects.teams == teams) { "acknowledged changes are missing at $version" }
    }

    private fun leader(): String = await("a leader") { operator.leaderStatus()?.name?.value }

    private companion object {
        val LONGEST_PAUSE: Duration = 700.milliseconds
        val ELECTION_TIME: Duration = 20.seconds
        val POLL: Duration = 50.milliseconds
    }
}
