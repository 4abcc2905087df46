package org.hibiscusproxy.daemon.command

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.cli.ExperimentalCli
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.controller.ControllerFixture
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.change
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.loopback
import org.hibiscusproxy.daemon.controller.ControllerFixture.Companion.publishBody
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.daemon.sidecar.Sidecar
import org.hibiscusproxy.daemon.testing.FakeTarget
import org.hibiscusproxy.daemon.testing.OrderEngine
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.awaitUntil
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Incarnation
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against exit codes that hide the outcome of an order, from the command to the engine. */
class OrderCommandTest {
    @TempDir
    lateinit var folder: Path
    private val engine = FakeTarget()
    private val opened = mutableListOf<AutoCloseable>(engine)
    private val printed = ByteArrayOutputStream()
    private val fixture by lazy {
        ControllerFixture(folder.resolve("data"), listOf("c1"), leaseMilliseconds = 600)
            .also { opened += it }
            .start()
    }

    @AfterTest
    fun close() = opened.asReversed().forEach { it.close() }

    private fun publish() {
        fixture.client().change("/objects", publishBody("a", 0))
    }

    private fun sidecar(incarnation: Long = 1): Sidecar {
        val settings = Settings(
            name = ProcessName("sidecar-t1"),
            dataCenter = DataCenterName("lj"),
            administration = loopback(0),
            fleetKeyFile = "unused",
            controllers = fixture.addresses,
            sidecar = SidecarSettings(TargetName("t1"), loopback(0), engine.url),
        )
        val registry = SimpleMeterRegistry()
        val context = RoleContext(fixture.key, Incarnation(incarnation), registry, { "" }) { }
        val sidecar = Sidecar.of(settings, context).also { opened += it }
        runBlocking { sidecar.start() }
        awaitUntil { sidecar.isReady }
        return sidecar
    }

    @OptIn(ExperimentalCli::class)
    private fun run(vararg arguments: String): ExitCode {
        printed.reset()
        val command = InstanceCommand()
        command.output = PrintStream(printed)
        command.errors = PrintStream(printed)
        val controllers = fixture.addresses.joinToString(",") { "${it.operators}" }
        val key = Files.writeString(folder.resolve("key"), "a fleet key for tests")
        command.parse(arrayOf("-c", controllers, "-k", "$key", *arguments))
        return command.run()
    }

    private fun order(target: String, change: String, value: String = "m") =
        run("order", target, "--change", change, "--kind", "load-model", "--value", value)

    private fun lines() = printed.toString().trim().lines()

    @Nested
    inner class ExitCodes {
        @Test
        fun `distinguish accepted, resent, reused and not connected`() {
            publish()
            sidecar()
            val orders = OrderEngine(engine, checksFencing = false)
            repeat(2) {
                assertEquals(ExitCode.DONE, order("t1", "o1"))
                assertEquals(listOf("accepted under fencing number 1"), lines())
            }
            assertEquals(ExitCode.CONFLICT, order("t1", "o1", value = "other"))
            assertEquals(listOf("not sent: number-reused"), lines())
            assertEquals(ExitCode.REFUSED, order("t2", "o2"))
            assertEquals(listOf("not sent: not-connected"), lines())
            assertEquals(ExitCode.REFUSED, order("t9", "o3"))
            assertEquals(listOf("there is no target \"t9\""), lines())
            assertEquals(listOf("m"), orders.carriedOut)
        }

        @Test
        fun `distinguish an unknown outcome from a failure`() {
            publish()
            sidecar()
            engine.behaviour = { _, _ -> throw IOException("cut off") }
            assertEquals(ExitCode.UNKNOWN, order("t1", "o1"))
            val expected = listOf(
                "outcome unknown: the engine did not answer",
                "to send the order again: --change o1",
            )
            assertEquals(expected, lines())
        }

        @Test
        fun `report usage errors`() {
            assertEquals(ExitCode.USAGE, run("order", "t1", "--kind", "load-model"))
            assertEquals(ExitCode.USAGE, run("drain", "t1", "--kind", "load-model"))
            assertEquals(ExitCode.USAGE, run("order", "t1", "--based-on", "1"))
        }
    }

    @Nested
    inner class RestartedSidecars {
        @Test
        fun `take orders under a higher fencing number`() {
            publish()
            val orders = OrderEngine(engine, checksFencing = true)
            sidecar().use { assertEquals(ExitCode.DONE, order("t1", "o1", "old")) }
            sidecar(incarnation = 2)
            assertEquals(ExitCode.DONE, order("t1", "o2", "new"))
            assertEquals(listOf("accepted under fencing number 2"), lines())
            assertEquals(listOf("old", "new"), orders.carriedOut)
        }
    }
}
