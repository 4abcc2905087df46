package org.hibiscusproxy.daemon.forwarding

import kotlin.time.Duration
import org.hibiscusproxy.forwarding.AttemptResult

/** The attempts of a request that are in progress: one, or two after a slow start of an answer. */
internal class ExchangeAttempts {
    private val running = ArrayList<TargetAttempt>(2)

    val isEmpty: Boolean get() = running.isEmpty()

    val size: Int get() = running.size

    /** Whether no attempt has written anything of the request to a connection. */
    val areUnsent: Boolean get() = running.all { it.wasNotSent }

    /** Whether a target has begun to answer. */
    val hasAnswer: Boolean get() = running.any { it.hasAnswered }

    fun add(attempt: TargetAttempt) {
        running += attempt
    }

    fun remove(attempt: TargetAttempt) {
        running -= attempt
    }

    /** Ends all attempts but [selected]; returns how many of them may have run the request. */
    fun select(selected: TargetAttempt): Int {
        val others = running.filter { it !== selected }
        running.retainAll { it === selected }
        others.forEach { it.cancel(it.resultIfDropped) }
        return others.count { !it.wasNotSent }
    }

    /** Ends all attempts. */
    fun cancel(result: AttemptResult) {
        val all = running.toList()
        running.clear()
        all.forEach { it.cancel(result) }
    }

    /** Pauses or resumes reading from the targets. */
    fun setReading(isReading: Boolean) = running.forEach { it.setReading(isReading) }

    /** Records that no attempt was answered before [timeout]. */
    fun recordTimeout(timeout: Duration) = running.forEach { it.recordTimeout(timeout) }

    /** What marks the end of the answer of the only attempt. */
    val framing: AnswerFraming? get() = running.singleOrNull()?.framing
}
