package org.hibiscusproxy.daemon.forwarding

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.forwarding.CrashAnalysis
import org.hibiscusproxy.forwarding.DiscoveredTarget

/** What an attempt of [exchange] at [target] tells about requests that crash targets. */
internal class AttemptEvidence(
    private val exchange: Exchange,
    private val target: DiscoveredTarget,
) {
    /** When the target began to answer; null before. */
    var answeredAt: ComparableTimeMark? = null
        private set
    private var hasSurvived = false

    /** Whether the answer began so recently that a crash of the target may be due to it. */
    val isStartOfAnswer: Boolean
        get() = answeredAt.let { it == null || it.elapsedNow() < CrashAnalysis.ANSWER_START }

    /** Records that the target begins to answer now. */
    fun recordAnswer() {
        answeredAt = exchange.node.time.markNow()
    }

    /** Checks whether the target, whose connection is lost, crashed under the request. */
    fun checkForCrash() {
        if (!isStartOfAnswer) return
        val suspects = exchange.fingerprints
        // Parts of prompts crash a target when it begins to answer, not while a request waits.
        val isAnswered = answeredAt != null
        val fingerprints = if (isAnswered) suspects.all else setOf(suspects.request)
        exchange.node.crashDetector.onConnectionLost(target, fingerprints)
    }

    /** Records that a successful answer outlived its start. */
    fun recordSurvival() {
        val begunAt = answeredAt ?: return
        if (hasSurvived) return
        hasSurvived = true
        val refusals = exchange.node.refusals
        if (!refusals.isEmpty) refusals.recordSurvivedAnswer(exchange.fingerprints.all)
        val observer = exchange.node.crashes
        observer.recordSurvivedAnswer(exchange.fingerprints.parts, begunAt)
        if (observer.hasSuspects) {
            observer.recordSurvivedAnswer(setOf(exchange.fingerprints.request), begunAt)
        }
    }
}
