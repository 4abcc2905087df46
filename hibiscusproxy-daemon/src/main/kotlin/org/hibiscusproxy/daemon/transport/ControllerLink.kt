package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRefusal
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * The one connection that a process keeps to the fleet's controllers. It moves to the leader when
 * a controller names it, and to the next controller after a refusal without a name, a lost
 * connection or an unanswered question.
 *
 * Tables: [questions] is a concurrent map; the current connection is a state flow; [preferred] is
 * volatile. No lock is held while another is taken.
 *
 * @param component prefix of log lines
 * @param connected runs on each new connection before it is used for questions
 * @param received takes messages that answer no question; must not block
 */
class ControllerLink(
    private val component: String,
    private val transport: PeerTransport,
    private val controllers: List<ControllerAddress>,
    private val patience: Duration = 400.milliseconds,
    private val connected: suspend (PeerConnection) -> Unit,
    private val received: suspend (ControlMessage) -> Unit,
) : AutoCloseable {
    private val questions = ConcurrentHashMap<Long, CompletableDeferred<ControlMessage>>()
    private val numbers = AtomicLong()
    private val current = MutableStateFlow<PeerConnection?>(null)

    @Volatile
    private var preferred: ProcessName? = null

    init {
        require(controllers.isNotEmpty()) { "a fleet needs at least one controller: $controllers" }
    }

    /** Keeps connected until [scope] ends. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            var next = 0
            repeatGuarded(component) {
                val named = controllers.indexOfFirst { it.name == preferred }
                preferred = null
                if (named >= 0) next = named
                val controller = controllers[next % controllers.size]
                next = (next + 1) % controllers.size
                useOnce(controller)
            }
        }
    }

    /** Sends [message] on the present connection. Returns false when there is none. */
    suspend fun tell(message: ControlMessage): Boolean = current.value?.send(message)?.isOk == true

    /**
     * Asks until a controller that can decide has answered or [limit] has passed.
     *
     * @param question builds the message of one try with a number of its own
     * @return null when nobody answered in time
     */
    suspend fun ask(limit: Duration, question: (Long) -> ControlMessage): ControlMessage? {
        val deadline = TimeSource.Monotonic.markNow() + limit
        while (true) {
            val remaining = -deadline.elapsedNow()
            if (remaining <= Duration.ZERO) return null
            val connection = withTimeoutOrNull(remaining) { current.filterNotNull().first() }
                ?: return null
            val answer = askOnce(connection, minOf(patience, -deadline.elapsedNow()), question)
            val refusal = answer?.refusal()
            if (answer != null && refusal == null) return answer
            moveFrom(connection, refusal?.leader)
            if (refusal != null && refusal.leader == null) delay(LEADERLESS_PAUSE)
        }
    }

    override fun close() {
        current.value?.close()
    }

    private suspend fun useOnce(controller: ControllerAddress) {
        val connection = transport.connect(controller.address).fold(
            { it },
            { failure ->
                LOG.info("{}: controller {} not reached: {}", component, controller.name, failure)
                delay(RECONNECT_PAUSE)
                return
            },
        )
        LOG.info("{}: connected to controller {}", component, controller.name)
        connection.use {
            connected(connection)
            current.value = connection
            for (message in connection.incoming) {
                if (message is ControlMessage) deliver(message)
            }
            current.compareAndSet(connection, null)
        }
    }

    private suspend fun deliver(message: ControlMessage) {
        val question = message.number()?.let(questions::get)
        if (question == null) received(message) else question.complete(message)
    }

    private suspend fun askOnce(
        connection: PeerConnection,
        limit: Duration,
        question: (Long) -> ControlMessage,
    ): ControlMessage? {
        val number = numbers.incrementAndGet()
        val answer = CompletableDeferred<ControlMessage>()
        questions[number] = answer
        try {
            return withTimeoutOrNull(limit) {
                connection.send(question(number)).get()?.let { answer.await() }
            }
        } finally {
            questions.remove(number)
        }
    }

    private fun moveFrom(connection: PeerConnection, leader: ProcessName?) {
        if (!current.compareAndSet(connection, null)) return
        preferred = leader
        connection.close()
    }

    private class Refusal(val leader: ProcessName?)

    private fun ControlMessage.refusal(): Refusal? = when (this) {
        is LeaseRefusal -> refusal(reason, leader)

        is ClaimAnswer -> (outcome as? ClaimOutcome.Refused)?.let { refusal(it.reason, it.leader) }

        is ClaimAcknowledgement -> refusal?.let { refusal(it, leader) }

        else -> null
    }

    private fun refusal(reason: ControlRefusal, leader: ProcessName?): Refusal? = when (reason) {
        ControlRefusal.NOT_LEADER, ControlRefusal.NO_MAJORITY -> Refusal(leader)
        ControlRefusal.UNKNOWN_TARGET,
        ControlRefusal.OTHER_INCARNATION,
        ControlRefusal.FULL,
        -> null
    }

    private fun ControlMessage.number(): Long? = when (this) {
        is LeaseGrant -> number
        is LeaseRefusal -> number
        is ClaimAnswer -> number
        is ClaimAcknowledgement -> number
        else -> null
    }

    private companion object {
        val RECONNECT_PAUSE = 100.milliseconds
        val LEADERLESS_PAUSE = 50.milliseconds
        val LOG: Logger = LoggerFactory.getLogger(ControllerLink::class.java)
    }
}
