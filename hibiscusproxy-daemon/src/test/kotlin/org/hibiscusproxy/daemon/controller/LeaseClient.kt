package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.control.LeaseReceipt
import org.hibiscusproxy.control.SidecarLease
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.PeerMessage

/** A sidecar in a [ControllerSimulation] that requests leases from all controllers. */
internal class LeaseClient(
    val target: TargetName,
    private val incarnation: Incarnation,
    private val controllers: List<SimulatedController>,
    private val network: LossyNetwork,
) {
    private val lease = SidecarLease(target, incarnation)
    private var nextRenewal = Duration.ZERO
    private val sessions = controllers.associateWith { controller ->
        val process = ProcessName("sidecar-$target")
        val hello = Hello(process, DataCenterName("lj"), incarnation, target)
        LossySession(hello, network) { receive(controller, it) }
    }

    val version: Long get() = lease.knownVersion

    val isValid: Boolean get() = lease.isValid(network.time.markNow())

    fun advance() {
        if (network.elapsed() < nextRenewal) return
        nextRenewal = network.elapsed() + network.random.nextInt(300, 1_000).milliseconds
        controllers.forEach(::renew)
    }

    private fun renew(controller: SimulatedController) =
        send(controller, lease.request(LoadReport(), network.time.markNow()))

    private fun receive(controller: SimulatedController, message: PeerMessage) {
        if (message is LeaseRenewNow) renew(controller)
        if (message !is LeaseGrant) return
        if (lease.receive(message) == LeaseReceipt.NEW_VERSION) {
            send(controller, LeaseAcknowledgement(target, incarnation, message.version))
        }
    }

    private fun send(controller: SimulatedController, message: PeerMessage) = network.send {
        controller.receive(sessions.getValue(controller), message)
    }
}
