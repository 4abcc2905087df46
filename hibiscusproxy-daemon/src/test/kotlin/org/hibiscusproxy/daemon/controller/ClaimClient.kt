package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimAcknowledgement
import org.hibiscusproxy.protocol.ClaimAnswer
import org.hibiscusproxy.protocol.ClaimCompletion
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ClaimRelease
import org.hibiscusproxy.protocol.ClaimRequest
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.StoredAnswer

/**
 * An entry in a [ControllerSimulation] that claims requests under a small set of keys, as callers do
 * that resend. It retries each message at random controllers until it is answered. A claim without
 * an answer is abandoned after a time limit and then released.
 */
internal class ClaimClient(
    private val name: String,
    private val controllers: List<SimulatedController>,
    private val network: LossyNetwork,
    private val recorder: ExecutionRecorder,
) {
    private val random get() = network.random
    private val hello = Hello(ProcessName(name), DataCenterName("lj"), Incarnation(1))
    private val pendingCalls = mutableListOf<PendingCall>()
    private var requests = 0
    private var numbers = 0L

    fun advance() {
        if (random.nextInt(5) == 0) beginRequest()
        pendingCalls.filter { it.isExpired }.forEach(::abandon)
        pendingCalls.toList().forEach { it.resend() }
    }

    private fun beginRequest() {
        requests += 1
        val key = ClaimKey(TeamName("volta"), ServiceName("booking"), "k${random.nextInt(60)}")
        claim(key, Attempt(RequestIdentifier("$name-$requests"), 1))
    }

    private fun claim(key: ClaimKey, attempt: Attempt) {
        val build = { number: Long -> ClaimRequest(number, key, Fingerprint(1), attempt, 2_000) }
        pendingCalls += PendingCall(key, attempt, 5.seconds, build) { message ->
            handleOutcome(key, attempt, (message as ClaimAnswer).outcome)
        }
    }

    private fun handleOutcome(key: ClaimKey, attempt: Attempt, outcome: ClaimOutcome) {
        when (outcome) {
            is ClaimOutcome.Granted -> execute(key, attempt)
            is ClaimOutcome.Completed -> recorder.recordResentAnswer(key, outcome.answer)
            else -> Unit
        }
    }

    private fun execute(key: ClaimKey, attempt: Attempt) {
        val choice = random.nextInt(10)
        if (choice < 3) {
            release(key, attempt) { claim(key, attempt.copy(number = attempt.number + 1)) }
            return
        }
        val answer = StoredAnswer(200, emptyList(), Payload.of("$attempt"))
        recorder.recordExecution(key, answer)
        // Otherwise simulates a crash of the entry: the attempt is never completed.
        if (choice < 9) complete(key, attempt, answer)
    }

    private fun complete(key: ClaimKey, attempt: Attempt, answer: StoredAnswer) {
        val build = { number: Long -> ClaimCompletion(number, key, attempt, answer) }
        pendingCalls += PendingCall(key, attempt, 60.seconds, build) { }
    }

    private fun release(key: ClaimKey, attempt: Attempt, next: () -> Unit) {
        val build = { number: Long -> ClaimRelease(number, key, attempt) }
        pendingCalls += PendingCall(key, attempt, 60.seconds, build) { message ->
            if ((message as ClaimAcknowledgement).accepted) next()
        }
    }

    private fun abandon(call: PendingCall) {
        pendingCalls -= call
        if (call.isClaim) release(call.key, call.attempt) { }
    }

    private inner class PendingCall(
        val key: ClaimKey,
        val attempt: Attempt,
        limit: Duration,
        private val build: (Long) -> ControlMessage,
        private val onAnswer: (ControlMessage) -> Unit,
    ) {
        private val end = network.elapsed() + limit
        private var nextSend = Duration.ZERO
        val isExpired: Boolean get() = network.elapsed() >= end
        val isClaim: Boolean get() = build(0) is ClaimRequest

        fun resend() {
            if (network.elapsed() < nextSend) return
            nextSend = network.elapsed() + 400.milliseconds
            numbers += 1
            val message = build(numbers)
            val controller = controllers.random(random)
            val session = LossySession(hello, network, ::receive)
            network.send { controller.receive(session, message) }
        }

        private fun receive(message: PeerMessage) {
            val isRefusal = when (message) {
                is ClaimAnswer -> message.outcome is ClaimOutcome.Refused
                is ClaimAcknowledgement -> message.refusal != null
                else -> true
            }
            if (!isRefusal && pendingCalls.remove(this)) onAnswer(message as ControlMessage)
        }
    }
}

/** Records executions by key and detects duplicate executions and inconsistent answers. */
internal class ExecutionRecorder {
    private val answers = HashMap<ClaimKey, StoredAnswer>()
    val violations = mutableListOf<String>()
    var resentAnswers = 0
        private set
    val executions: Int get() = answers.size

    fun recordExecution(key: ClaimKey, answer: StoredAnswer) {
        if (answers.putIfAbsent(key, answer) != null) violations += "$key was executed twice"
    }

    fun recordResentAnswer(key: ClaimKey, answer: StoredAnswer) {
        resentAnswers += 1
        if (answers[key] != answer) violations += "$key was resent a different answer"
    }
}
