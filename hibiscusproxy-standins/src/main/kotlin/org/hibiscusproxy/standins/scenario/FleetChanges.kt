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

/** Publishes sequences of changes and checks the resulting state and cluster members. */
internal class FleetChanges(
    private val objects: FleetObjects,
    private val operator: ScenarioOperator,
    private val fleet: ProcessFleet,
    private val report: (String) -> Unit,
) {
    private val addedTeams = ArrayList<Team>()
    private val lostIdentities = HashMap<String, Long>()
    private var slowestChange = Duration.ZERO

    /** Publishes [count] changes, each of which adds a team, and checks the resulting state. */
    fun publish(count: Int) {
        val before = operator.state().version
        repeat(count) { publishNext(before + it) }
        checkState(before + count)
    }

    /**
     * Kills leaders at random moments while one operator publishes changes. Afterwards the state
     * must contain exactly the acknowledged changes.
     */
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
            Thread.sleep(random.nextLong(MAXIMUM_KILL_INTERVAL.inWholeMilliseconds))
            val leader = leader()
            fleet.kill(leader)
            fleet.start(leader)
            report("           kill ${round + 1}: $leader")
            check(!publisher.isCompletedExceptionally) { "publishing failed during leader kills" }
        }
        isOver.set(true)
        val version = publisher.get()
        val acknowledged = version - before
        report("           $acknowledged changes acknowledged, the slowest after $slowestChange")
        checkState(version)
    }

    /** Records the identity that [controller] loses when its data folder is deleted. */
    fun recordLostIdentity(controller: String) {
        val members = await("leader") { operator.leaderStatus() }.members
        members.find { it.process.value == controller }
            ?.let { lostIdentities[controller] = it.identity }
    }

    /** Replaces the old identity of [controller] as an operator does after a disk replacement. */
    fun readmit(controller: String) {
        val identity = await("new identity of $controller") {
            operator.leaderStatus()?.strangers?.find { it.process.value == controller }?.identity
        }
        val name = ProcessName(controller)
        val steps = listOf(
            MemberBody(MemberAction.REMOVE, name),
            MemberBody(MemberAction.ADD, name, identity),
            MemberBody(MemberAction.PROMOTE, name),
        )
        for (step in steps) await("success of $step") { operator.changeMember(step).takeIf { it } }
    }

    private fun <T : Any> await(what: String, read: () -> T?): T {
        val deadline = TimeSource.Monotonic.markNow() + ELECTION_TIMEOUT
        while (true) {
            read()?.let { return it }
            check(deadline.hasNotPassedNow()) {
                "no $what within $ELECTION_TIMEOUT; status: ${operator.leaderStatus()}"
            }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Waits until the leader lists a controller as a voter under an identity that is not lost. */
    fun awaitVoter(step: ScenarioStep.ExpectVoter) {
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val status = operator.leaderStatus()
            val member = status?.members?.find { it.process.value == step.controller }
            if (member?.isVoter == true && member.identity != lostIdentities[step.controller]) break
            check(start.elapsedNow() < step.duration) {
                "${step.controller} is not a voter after ${step.duration}; status: $status"
            }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
        report("           voter after ${start.elapsedNow()}: ${operator.leaderStatus()?.members}")
    }

    /** Checks that the acknowledged version is the next one; a change applied twice skips one. */
    private fun publishNext(basedOn: Long) {
        val team = Team(TeamName("change-${addedTeams.size + 1}"))
        val start = TimeSource.Monotonic.markNow()
        val next = objects.copy(teams = objects.teams + addedTeams + team)
        val outcome = operator.publishWithoutWaiting(next, basedOn)
        slowestChange = maxOf(slowestChange, start.elapsedNow())
        check(outcome == ChangeOutcome.Accepted(basedOn + 1)) {
            "change based on version $basedOn was not accepted: $outcome"
        }
        addedTeams += team
    }

    private fun checkState(version: Long) {
        val state = operator.state()
        check(state.version == version) { "expected version $version, found ${state.version}" }
        val teams = objects.teams + addedTeams
        check(state.objects.teams == teams) {
            "teams at version $version differ from the acknowledged changes"
        }
    }

    private fun leader(): String = await("leader") { operator.leaderStatus()?.name?.value }

    private companion object {
        val MAXIMUM_KILL_INTERVAL: Duration = 700.milliseconds
        val ELECTION_TIMEOUT: Duration = 20.seconds
        val POLL_INTERVAL: Duration = 50.milliseconds
    }
}
