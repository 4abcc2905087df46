package org.hibiscusproxy.daemon.forwarding

import kotlin.time.Duration
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.TargetName

/**
 * The attempts of a request: those in progress, which are one or two, and what is left of those
 * that ended.
 */
internal class ExchangeAttempts {
    private val running = ArrayList<TargetAttempt>(2)
    private val tried = LinkedHashSet<TargetName>()

    /** Targets that the next attempt avoids. */
    val triedTargets: Set<TargetName> get() = tried

    /** Number of attempts, including those that reached no target. */
    var count = 0
        private set

    /** Target of the latest attempt, or of the one whose answer the caller gets. */
    var lastTarget: DiscoveredTarget? = null
        private set

    /** Number of ended attempts that executed the request or may have executed it. */
    var possibleExecutions = 0
        private set

    val isEmpty: Boolean get() = running.isEmpty()

    val size: Int get() = running.size

    /** Whether a target may have executed the request or may do so later. */
    val mayHaveRun: Boolean get() = possibleExecutions > 0 || running.any { !it.wasNotSent }

    /** Whether a target has begun to answer. */
    val hasAnswer: Boolean get() = running.any { it.hasAnswered }

    /** Adds [attempt], which starts now. */
    fun add(attempt: TargetAttempt) {
        running += attempt
        tried += attempt.target.name
        lastTarget = attempt.target
        count += 1
    }

    /** Removes [ended]; returns false if it was not in progress. */
    fun remove(ended: TargetAttempt, isNotExecuted: Boolean): Boolean {
        if (!running.remove(ended)) return false
        if (!isNotExecuted) possibleExecutions += 1
        return true
    }

    /** Lets the next attempt use [target] again. */
    fun allowAgain(target: TargetName) {
        tried -= target
    }

    /** Ends all attempts but [selected]; returns how many of them may have run the request. */
    fun select(selected: TargetAttempt): Int {
        val others = running.filter { it !== selected }
        running.retainAll { it === selected }
        lastTarget = selected.target
        return cancel(others) { it.resultIfDropped }
    }

    /** Ends all attempts. */
    fun cancel(result: AttemptResult) {
        val all = running.toList()
        running.clear()
        cancel(all) { result }
    }

    private fun cancel(
        attempts: List<TargetAttempt>,
        result: (TargetAttempt) -> AttemptResult,
    ): Int {
        val executions = attempts.count { !it.wasNotSent }
        possibleExecutions += executions
        attempts.forEach { it.cancel(result(it)) }
        return executions
    }

    /** Pauses or resumes reading from the targets. */
    fun setReading(isReading: Boolean) = running.forEach { it.setReading(isReading) }

    /** Records that no attempt was answered before [timeout]. */
    fun recordTimeout(timeout: Duration) = running.forEach { it.recordTimeout(timeout) }
}
