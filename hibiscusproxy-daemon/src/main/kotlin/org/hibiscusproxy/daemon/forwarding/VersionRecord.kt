package org.hibiscusproxy.daemon.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.expectedPrefill
import org.hibiscusproxy.forwarding.isCold
import org.hibiscusproxy.forwarding.isMostlyCached

/**
 * Records the outcome of an attempt of [exchange] as evidence about the software version of
 * [target]: the time to the first event and between the events of a stream, and the whole time of
 * other answers. Times of cold targets and those that a slowly reading caller determined do not
 * count, nor those to the first event of a prompt that its target had to read or copy: the caches
 * of new targets are empty, and the time for a long prompt is known too roughly.
 */
internal class VersionRecord(
    private val exchange: Exchange,
    private val target: DiscoveredTarget,
    private val placed: PlacedAttempt,
) {
    private val node = exchange.node
    private var sentAt: ComparableTimeMark? = null
    private var firstEventAt: ComparableTimeMark? = null
    private var lastEventAt: ComparableTimeMark? = null
    private var events = 0
    private var isDelayedByCaller = false

    /** Records that the request is written to the target now. */
    fun recordSent() {
        sentAt = node.time.markNow()
    }

    /** Records that the caller does not read as fast as the target answers. */
    fun recordSlowCaller() {
        isDelayedByCaller = true
    }

    /** Records that [total] events have arrived, the last one now. */
    fun recordEvents(total: Int) {
        if (total == events) return
        val now = node.time.markNow()
        if (events == 0) {
            firstEventAt = now
            if (node.selector.isMostlyCached(placed)) {
                recordTime { name, sent ->
                    val prefill = node.selector.expectedPrefill(placed)
                    node.evidence.recordTime(name, target, now - sent - prefill)
                }
            }
        }
        events = total
        lastEventAt = now
    }

    /** Records a complete answer that is no failure. */
    fun recordAnswer(isStream: Boolean) {
        exchange.route?.let { node.evidence.recordAnswer(it.name, target) }
        if (!isStream) {
            recordTime { name, sent -> node.evidence.recordTime(name, target, sent.elapsedNow()) }
        } else if (events > 1) {
            recordTime { name, _ -> node.evidence.recordGap(name, target, meanGap()) }
        }
    }

    /** Records that the target failed a request that it may have run. */
    fun recordFailure() {
        if (sentAt == null) return
        exchange.route?.let { node.evidence.recordFailure(it.name, target) }
    }

    /**
     * Records that the time of the caller has passed. An attempt that had only a small part of
     * [timeout], after a failed one, tells nothing about its target.
     */
    fun recordTimeout(timeout: Duration) {
        val elapsed = sentAt?.elapsedNow() ?: return
        if (!isDelayedByCaller && elapsed >= timeout * CONCLUSIVE_FRACTION) recordFailure()
    }

    private fun meanGap(): Duration {
        val first = firstEventAt ?: return Duration.ZERO
        val last = lastEventAt ?: return Duration.ZERO
        return (last - first) / (events - 1)
    }

    private inline fun recordTime(action: (String, ComparableTimeMark) -> Unit) {
        val sent = sentAt ?: return
        val name = exchange.route?.name ?: return
        if (!isDelayedByCaller && !node.selector.isCold(placed)) action(name, sent)
    }

    private companion object {
        const val CONCLUSIVE_FRACTION = 0.5
    }
}
