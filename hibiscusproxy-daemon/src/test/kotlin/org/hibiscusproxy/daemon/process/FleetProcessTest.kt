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
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.administration.AdministrationServer
import org.hibiscusproxy.model.NetworkAddress

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
