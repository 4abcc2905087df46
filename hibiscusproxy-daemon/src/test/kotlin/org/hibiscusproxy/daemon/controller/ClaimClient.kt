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
 * An entry of a [FaultyControllersRun] that claims requests under few keys, as callers who resend do.
 * It sends each message again, to any controller, until it is answered, and gives a claim up after
 * a while, which it then releases.
 */
internal class ClaimClient(
    private val name: String,
    private val controllers: List<ReplicaUnderTest>,
    private val messages: LossyMessages,
    private val recorder: RunRecorder,
) {
    private val random get() = messages.random
    private val hello = Hello(ProcessName(name), DataCenterName("lj"), Incarnation(1))
    private val questions = mutableListOf<Question>()
    private var requests = 0
    private var numbers = 0L

    fun advance() {
        if (random.nextInt(5) == 0) begin()
        questions.filter { it.isOver }.forEach(::giveUp)
        questions.toList().forEach { it.resend() }
    }

    private fun begin() {
        requests += 1
        val key = ClaimKey(TeamName("volta"), ServiceName("booking"), "k${random.nextInt(60)}")
        claim(key, Attempt(RequestIdentifier("$name-$requests"), 1))
    }

    private fun claim(key: ClaimKey, attempt: Attempt) {
        val build = { number: Long -> ClaimRequest(number, key, Fingerprint(1), attempt, 2_000) }
        questions += Question(key, attempt, 5.seconds, build) { message ->
            decided(key, attempt, (message as ClaimAnswer).outcome)
        }
    }

    private fun decided(key: ClaimKey, attempt: Attempt, outcome: ClaimOutcome) {
        when (outcome) {
            is ClaimOutcome.Granted -> run(key, attempt)
            is ClaimOutcome.Completed -> recorder.answered(key, outcome.answer)
            else -> Unit
        }
    }

    private fun run(key: ClaimKey, attempt: Attempt) {
        val choice = random.nextInt(10)
        if (choice < 3) {
            release(key, attempt) { claim(key, attempt.copy(number = attempt.number + 1)) }
            return
        }
        val answer = StoredAnswer(200, emptyList(), Payload.of("$attempt"))
        recorder.ran(key, answer)
        // Otherwise the entry has died: nothing more is heard of the attempt.
        if (choice < 9) complete(key, attempt, answer)
    }

    private fun complete(key: ClaimKey, attempt: Attempt, answer: StoredAnswer) {
        val build = { number: Long -> ClaimCompletion(number, key, attempt, answer) }
        questions += Question(key, attempt, 60.seconds, build) { }
    }

    private fun release(key: ClaimKey, attempt: Attempt, next: () -> Unit) {
        val build = { number: Long -> ClaimRelease(number, key, attempt) }
        questions += Question(key, attempt, 60.seconds, build) { message ->
            if ((message as ClaimAcknowledgement).accepted) next()
        }
    }

    private fun giveUp(question: Question) {
        questions -= question
        if (question.isClaim) release(question.key, question.attempt) { }
    }

    private inner class Question(
        val key: ClaimKey,
        val attempt: Attempt,
        limit: Duration,
        private val build: (Long) -> ControlMessage,
        private val onAnswer: (ControlMessage) -> Unit,
    ) {
        private val end = messages.elapsed() + limit
        private var nextSending = Duration.ZERO
        val isOver: Boolean get() = messages.elapsed() >= end
        val isClaim: Boolean get() = build(0) is ClaimRequest

        fun resend() {
            if (messages.elapsed() < nextSending) return
            nextSending = messages.elapsed() + 400.milliseconds
            numbers += 1
            val message = build(numbers)
            val controller = controllers.random(random)
            val session = LossySession(hello, messages, ::receive)
            messages.send { controller.receive(session, message) }
        }

        private fun receive(message: PeerMessage) {
            val isRefusal = when (message) {
                is ClaimAnswer -> message.outcome is ClaimOutcome.Refused
                is ClaimAcknowledgement -> message.refusal != null
                else -> true
            }
            if (!isRefusal && questions.remove(this)) onAnswer(message as ControlMessage)
        }
    }
}

/** What ran under each key. */
internal class RunRecorder {
    private val answers = HashMap<ClaimKey, StoredAnswer>()
    val violations = mutableListOf<String>()
    var resentAnswers = 0
        private set
    val runs: Int get() = answers.size

    fun ran(key: ClaimKey, answer: StoredAnswer) {
        if (answers.putIfAbsent(key, answer) != null) violations += "$key ran twice"
    }

    fun answered(key: ClaimKey, answer: StoredAnswer) {
        resentAnswers += 1
        if (answers[key] != answer) violations += "$key was answered with another answer"
    }
}
