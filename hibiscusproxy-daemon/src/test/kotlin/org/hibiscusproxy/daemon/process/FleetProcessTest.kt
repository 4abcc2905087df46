package org.hibiscusproxy.daemon.process

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.administration.AdministrationServer
import org.hibiscusproxy.model.NetworkAddress
import org.junit.jupiter.api.Nested

class FleetProcessTest {
    private val address = ServerSocket(0).use { NetworkAddress("127.0.0.1", it.localPort) }

    private fun acceptsConnections(): Boolean = try {
        Socket(address.host, address.port).close()
        true
    } catch (_: IOException) {
        false
    }

    /** Records whether the administration server accepts connections when the role starts. */
    private inner class ProbingRole : Role {
        val observations = mutableListOf<Boolean>()
        override val isReady = true

        override suspend fun start() {
            observations += acceptsConnections()
        }

        override suspend fun drain(timeout: Duration) = 0

        override fun close() = Unit
    }

    /** A role that throws [failure] when it drains or closes, and one beside it. */
    private class FailingRole(private val failsIn: String, private val failure: Throwable) : Role {
        override val isReady = true

        override suspend fun start() = Unit

        override suspend fun drain(timeout: Duration): Int =
            if (failsIn == "drain") throw failure else 0

        override fun close() {
            if (failsIn == "close") throw failure
        }
    }

    private class SlowRole : Role {
        var isDrained = false
        var isClosed = false
        override val isReady = true

        override suspend fun start() = Unit

        override suspend fun drain(timeout: Duration): Int {
            delay(DRAIN_MILLISECONDS)
            isDrained = true
            return 0
        }

        override fun close() {
            isClosed = true
        }
    }

    /** Guards against requests without an answer because another role of their process failed. */
    @Nested
    inner class `A role that fails in the shutdown` {
        private fun shutDownBeside(failing: Role) {
            val other = SlowRole()
            val process = FleetProcess(mapOf("failing" to failing, "other" to other), null) { }
            val aborted = runBlocking {
                process.start()
                process.shutDown(1.seconds)
            }
            assertTrue(other.isDrained)
            assertTrue(other.isClosed)
            assertTrue(aborted > 0, "the failure is not reported")
        }

        @Test
        fun `by an exception in its drain does not stop the drain of another role`() =
            shutDownBeside(FailingRole("drain", IllegalStateException("fault of the test")))

        @Test
        fun `by an error in its drain does not stop the drain of another role`() =
            shutDownBeside(FailingRole("drain", LinkageError("fault of the test")))

        @Test
        fun `by an exception in its close does not keep another role open`() =
            shutDownBeside(FailingRole("close", IllegalStateException("fault of the test")))
    }

    private companion object {
        const val DRAIN_MILLISECONDS = 200L
    }

    @Test
    fun `starts its roles before the administration server`() {
        val role = ProbingRole()
        val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        val administration = AdministrationServer(address, MetricsPage(registry)) { true }
        FleetProcess(mapOf("role" to role), administration) { }.use { process ->
            runBlocking { process.start() }
            assertEquals(listOf(false), role.observations)
            assertTrue(acceptsConnections())
        }
    }
}
