package org.hibiscusproxy.daemon.controller

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.awaitility.Awaitility.await
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.change
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.objects
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.publishBody
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.stateBody
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.protocol.Incarnation
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against a controller whose answers to operators and to sidecars do not agree. */
class ControllerTest {
    @TempDir
    lateinit var folder: Path
    private val opened = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll() = opened.asReversed().forEach { it.close() }

    private fun fixture(vararg names: String): ControllerFixture =
        ControllerFixture(folder, names.toList()).also { opened += it }.start()

    private fun sidecar(fixture: ControllerFixture, target: String, incarnation: Long = 1) =
        SidecarStandIn(fixture, target, Incarnation(incarnation)).also { opened += it }.start()

    private fun eventually(condition: () -> Boolean) =
        await().atMost(10, TimeUnit.SECONDS).until(condition)

    @Nested
    inner class OneController {
        @Test
        fun `grants leases and tells when a data centre is out everywhere`() {
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
        fun `sends a sidecar its part of the objects`() {
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
        fun `keeps changes and fencing numbers over a restart`() {
            val fixture = fixture("c1")
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
}
