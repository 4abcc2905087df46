package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.get
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hibiscusproxy.control.LeaseReceipt
import org.hibiscusproxy.control.SidecarLease
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ConfigurationCurrent
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LoadReport

/**
 * A sidecar for tests that connects to all controllers, obtains a lease for one target, renews it at
 * an interval and on demand, and acknowledges versions.
 */
internal class LeaseHoldingSidecar(
    private val fixture: ControllerFixture,
    private val target: String,
    private val incarnation: Incarnation = Incarnation(1),
    private val interval: Duration = 300.milliseconds,
) : AutoCloseable {
    private val lease = SidecarLease(TargetName(target), incarnation)
    private val transport =
        fixture.transport("sidecar-$target", target, incarnation.value)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    val updates = CopyOnWriteArrayList<ConfigurationUpdate>()
    val refusals = CopyOnWriteArrayList<LeaseRefusal>()

    val grant: LeaseGrant? get() = synchronized(lease) { lease.grant }

    val admits: Boolean get() = synchronized(lease) { lease.admits(now()) }

    fun start(): LeaseHoldingSidecar = apply {
        fixture.addresses.forEach { controller -> scope.launch { stayConnected(controller) } }
    }

    private suspend fun stayConnected(controller: ControllerAddress) {
        while (scope.isActive) {
            transport.connect(controller.address).get()?.use { serve(it) }
            delay(100.milliseconds)
        }
    }

    private suspend fun serve(connection: PeerConnection) = coroutineScope {
        connection.send(ConfigurationRequest(0))
        val renewal = launch {
            while (isActive) {
                renew(connection)
                delay(interval)
            }
        }
        for (message in connection.incoming) {
            when (message) {
                is LeaseGrant -> receive(connection, message)
                is LeaseRenewNow -> renew(connection)
                is LeaseRefusal -> refusals += message
                is ConfigurationUpdate -> updates += message
                is ConfigurationCurrent -> Unit
                else -> error("unexpected $message")
            }
        }
        renewal.cancel()
    }

    private suspend fun renew(connection: PeerConnection) {
        connection.send(synchronized(lease) { lease.request(LoadReport(), now()) })
    }

    private suspend fun receive(connection: PeerConnection, grant: LeaseGrant) {
        val receipt = synchronized(lease) { lease.receive(grant) }
        if (receipt == LeaseReceipt.NEW_VERSION) {
            connection.send(LeaseAcknowledgement(grant.target, incarnation, grant.version))
        }
    }

    private fun now() = TimeSource.Monotonic.markNow()

    override fun close() {
        scope.cancel()
        transport.close()
    }
}
