package org.hibiscusproxy.daemon.controller

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.awaitility.Awaitility.await
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.daemon.command.CallResult
import org.hibiscusproxy.daemon.command.OperatorClient
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.change
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.objects
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.publishBody
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.stateBody
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.Incarnation
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against contradictory answers to operators and sidecars. */
class ControllerTest {
    @TempDir
    lateinit var folder: Path
    private val opened = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll() = opened.asReversed().forEach { it.close() }

    private fun fixture(vararg names: String, leaseMilliseconds: Long = 3_000): ControllerFixture =
        ControllerFixture(folder, names.toList(), leaseMilliseconds = leaseMilliseconds)
            .also { opened += it }
            .start()

    private fun sidecar(fixture: ControllerFixture, target: String, incarnation: Long = 1) =
        LeaseHoldingSidecar(fixture, target, Incarnation(incarnation)).also { opened += it }.start()

    private fun eventually(condition: () -> Boolean) =
        await().atMost(10, TimeUnit.SECONDS).until(condition)

    @Nested
    inner class OneController {
        @Test
        fun `grants leases and reports when a data centre is out of service everywhere`() {
            val fixture = fixture("c1")
            val client = fixture.client()
            assertEquals(
                ChangeOutcome.Accepted(1),
                client.change("/objects", publishBody("a", 0)).outcome,
            )
            val t1 = sidecar(fixture, "t1")
            val t2 = sidecar(fixture, "t2")
            eventually { t1.admits && t2.admits }

            val report = client.change("/data-centers/lj/out?wait=20", stateBody("b"))
            assertEquals(ChangeOutcome.Accepted(2), report.outcome)
            assertTrue(report.progress?.isInForce == true, "$report")
            assertEquals(false, t1.admits)
            assertEquals(true, t2.admits)
            assertEquals(OperationalState.OUT, t1.grant?.state)
        }

        @Test
        fun `sends a sidecar only the objects that it needs`() {
            val fixture = fixture("c1")
            fixture.client().change("/objects", publishBody("a", 0))
            val t1 = sidecar(fixture, "t1")

            eventually { t1.updates.isNotEmpty() }
            val expected = objects.copy(
                dataCenters = objects.dataCenters.take(1),
                targets = objects.targets.take(1),
            )
            assertEquals(expected, t1.updates.first().state.objects)
        }

        @Test
        fun `keeps changes and fencing numbers across a restart`() {
            val fixture = fixture("c1", leaseMilliseconds = 600)
            fixture.client().change("/objects", publishBody("a", 0))
            sidecar(fixture, "t1").use { old -> eventually { old.admits } }
            val name = fixture.addresses.single().name
            fixture.stop(name)
            fixture.start(name)

            val again = fixture.client().change("/objects", publishBody("a", 0))
            assertEquals(ChangeOutcome.Accepted(1), again.outcome)
            val next = sidecar(fixture, "t1", incarnation = 2)
            eventually { next.admits }
            assertEquals(2, next.grant?.fencingNumber)
        }
    }

    @Nested
    inner class ThreeControllers {
        private val fixture by lazy { fixture("c1", "c2", "c3") }

        private fun awaitLeader(): ProcessName {
            eventually { fixture.leader() != null }
            return checkNotNull(fixture.leader())
        }

        @Test
        fun `accept calls at any controller and grant leases at the leader only`() {
            val leader = awaitLeader()
            for (controller in fixture.addresses) {
                val address = checkNotNull(controller.operators)
                OperatorClient(listOf(address), fixture.key).use { client ->
                    val outcome = client.change("/objects", publishBody("a", 0)).outcome
                    assertEquals(ChangeOutcome.Accepted(1), outcome)
                }
            }
            val t1 = sidecar(fixture, "t1")
            eventually { t1.admits && t1.refusals.size >= 2 }

            assertEquals(setOf(ControlRefusal.NOT_LEADER to leader), t1.refusalsWithLeader())
        }

        @Test
        fun `preserve leases and changes when the leader stops`() {
            val leader = awaitLeader()
            val client = fixture.client()
            client.change("/objects", publishBody("a", 0))
            val t1 = sidecar(fixture, "t1")
            val t2 = sidecar(fixture, "t2")
            eventually { t1.admits && t2.admits }

            fixture.stop(leader)
            val stopped = TimeSource.Monotonic.markNow()
            val report = client.change("/data-centers/lj/out", stateBody("b"))
            val elected = stopped.elapsedNow()
            assertTrue(elected < 3.seconds, "accepted after $elected")
            assertTrue(t2.admits, "the lease of t2 expired")
            assertEquals(ChangeOutcome.Accepted(2), report.outcome)
            assertEquals(false, report.progress?.isInForce, "$report")
            val resend = client.change("/objects", publishBody("a", 0))
            assertEquals(ChangeOutcome.Accepted(1), resend.outcome)

            val done = client.change("/data-centers/lj/out?wait=10", stateBody("b"))
            assertEquals(true, done.progress?.isInForce, "$done")
            assertEquals(false, t1.admits)
            assertEquals(true, t2.admits)
        }

        @Test
        fun `readmit a controller with a wiped disk as a new member`() {
            val leader = awaitLeader()
            val lost = fixture.addresses.map { it.name }.first { it != leader }
            val client = fixture.client()
            client.change("/objects", publishBody("a", 0))
            fixture.stop(lost)
            folder.resolve(lost.value).toFile().deleteRecursively()
            fixture.start(lost)
            fun leaderStatus() = fixture.status(fixture.addresses.single { it.name == leader })
            eventually { leaderStatus().strangers.any { it.process == lost } }
            val identity = leaderStatus().strangers.single { it.process == lost }.identity

            assertEquals(200, client.members(MemberBody(MemberAction.REMOVE, lost)))
            assertEquals(200, client.members(MemberBody(MemberAction.ADD, lost, identity)))
            eventually { client.members(MemberBody(MemberAction.PROMOTE, lost)) == 200 }
            val expected = MemberReport(lost, identity, isVoter = true)
            assertTrue(expected in leaderStatus().members, "${leaderStatus().members}")
            val own = fixture.addresses.single { it.name == lost }
            eventually { fixture.status(own).version == 1L }
        }
    }

    private fun LeaseHoldingSidecar.refusalsWithLeader() =
        refusals.filter { it.leader != null }.map { it.reason to it.leader }.toSet()

    private fun OperatorClient.members(body: MemberBody): Int {
        val text = OperatorJson.format.encodeToString(MemberBody.serializer(), body)
        return (call("POST", "/members", text) as CallResult.Answered).status
    }
}
