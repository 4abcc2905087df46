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

/** A sidecar of a [FaultyControllersRun] that asks all controllers for leases. */
internal class LeaseClient(
    val target: TargetName,
    private val incarnation: Incarnation,
    private val controllers: List<ReplicaUnderTest>,
    private val messages: LossyMessages,
) {
    private val lease = SidecarLease(target, incarnation)
    private var nextRenewal = Duration.ZERO
    private val sessions = controllers.associateWith { controller ->
        val process = ProcessName("sidecar-$target")
        val hello = Hello(process, DataCenterName("lj"), incarnation, target)
        LossySession(hello, messages) { receive(controller, it) }
    }

    val version: Long get() = lease.knownVersion

    val isValid: Boolean get() = lease.isValid(messages.time.markNow())

    fun advance() {
        if (messages.elapsed() < nextRenewal) return
        nextRenewal = messages.elapsed() + messages.random.nextInt(300, 1_000).milliseconds
        controllers.forEach(::renew)
    }

    private fun renew(controller: ReplicaUnderTest) =
        send(controller, lease.request(LoadReport(), messages.time.markNow()))

    private fun receive(controller: ReplicaUnderTest, message: PeerMessage) {
        if (message is LeaseRenewNow) renew(controller)
        if (message !is LeaseGrant) return
        if (lease.receive(message) == LeaseReceipt.NEW_VERSION) {
            send(controller, LeaseAcknowledgement(target, incarnation, message.version))
        }
    }

    private fun send(controller: ReplicaUnderTest, message: PeerMessage) = messages.send {
        controller.receive(sessions.getValue(controller), message)
    }
}
