package org.hibiscusproxy.daemon.testing

import com.github.michaelbull.result.unwrap
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerListener
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.ConfigurationCurrent
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseAcknowledgement
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.PoolLoad

/** In-memory controller without a replicated log that grants leases and claims. */
class FakeController(name: String = "controller") : AutoCloseable {
    private class Claim(val content: Fingerprint, var attempt: Attempt?) {
        var outcome: ClaimOutcome? = null
    }

    private val transport = KtorPeerTransport(
        Hello(ProcessName(name), DataCenterName("north"), Incarnation(1)),
        KEY,
        SimpleMeterRegistry(),
    )
    private val subscribers = CopyOnWriteArrayList<PeerConnection>()
    private val claims = ConcurrentHashMap<ClaimKey, Claim>()
    private val listener: PeerListener = runBlocking {
        transport.listen(NetworkAddress("127.0.0.1", 0), ::serve)
    }

    val address = ControllerAddress(ProcessName(name), listener.address)
    val received = CopyOnWriteArrayList<ControlMessage>()

    @Volatile
    var state = FleetState()

    /** Leader named in refusals; null when this controller is the leader. */
    @Volatile
    var leader: ProcessName? = null

    @Volatile
    var grantsLeases = true

    @Volatile
    var leaseMilliseconds = 3_000L

    @Volatile
    var pool = PoolLoad(running = 1_000, targets = 1)

    @Volatile
    var fencingNumber = 1L

    /** Sends [message] to all connected processes. */
    fun broadcast(message: ControlMessage) = runBlocking {
        subscribers.forEach { it.send(message) }
    }

    /** Publishes [state] to all connected processes. */
    fun publish(state: FleetState) = runBlocking {
        this@FakeController.state = state
        subscribers.forEach { it.send(ConfigurationUpdate(state)) }
        subscribers.forEach { it.send(LeaseRenewNow(state.version)) }
    }

    /** Advances to [version] without a change that affects a subscriber. */
    fun confirm(version: Long) = runBlocking {
        state = state.copy(version = version)
        subscribers.forEach { it.send(ConfigurationCurrent(version)) }
        subscribers.forEach { it.send(LeaseRenewNow(version)) }
    }

    override fun close() {
        listener.close()
        transport.close()
    }

    private suspend fun serve(connection: PeerConnection) {
        subscribers += connection
        try {
            for (message in connection.incoming) {
                received += message as ControlMessage
                answer(message)?.let { connection.send(it) }
            }
        } finally {
            subscribers -= connection
        }
    }

    private fun answer(message: PeerMessage): ControlMessage? = when (message) {
        is LeaseRequest -> lease(message)

        is ConfigurationRequest ->
            ConfigurationUpdate(state).takeIf { state.version > message.knownVersion }

        is ClaimRequest -> ClaimAnswer(message.number, claim(message))

        is ClaimRelease -> ClaimAcknowledgement(message.number, release(message))

        is ClaimCompletion -> ClaimAcknowledgement(message.number, complete(message))

        is CrashReport, is LeaseAcknowledgement -> null

        else -> null
    }

    private fun lease(request: LeaseRequest): ControlMessage? {
        leader?.let { return LeaseRefusal(request.number, ControlRefusal.NOT_LEADER, it) }
        if (!grantsLeases) return null
        val target = state.objects.targets.find { it.name == request.target }
            ?: return LeaseRefusal(request.number, ControlRefusal.UNKNOWN_TARGET)
        return LeaseGrant(
            request.number,
            request.target,
            state.version,
            state.stateOf(target),
            fencingNumber,
            leaseMilliseconds,
            pool,
        )
    }

    @Synchronized
    private fun claim(request: ClaimRequest): ClaimOutcome {
        leader?.let { return ClaimOutcome.Refused(ControlRefusal.NOT_LEADER, it) }
        val claim = claims.getOrPut(request.key) { Claim(request.content, null) }
        if (claim.content != request.content) return ClaimOutcome.ContentMismatch
        claim.outcome?.let { return it }
        val holder = claim.attempt ?: request.attempt
        claim.attempt = holder
        return when (holder) {
            request.attempt -> ClaimOutcome.Granted(holder)
            else -> ClaimOutcome.InProgress(holder)
        }
    }

    @Synchronized
    private fun release(release: ClaimRelease): Boolean {
        val claim = claims[release.key]?.takeIf { it.attempt == release.attempt } ?: return false
        claim.attempt = null
        return true
    }

    @Synchronized
    private fun complete(completion: ClaimCompletion): Boolean {
        val claim = claims[completion.key] ?: return false
        if (claim.attempt != completion.attempt) return false
        claim.outcome = ClaimOutcome.Completed(completion.answer)
        return true
    }

    companion object {
        val KEY: FleetKey = FleetKey.of("0123456789abcdef".encodeToByteArray()).unwrap()
    }
}
