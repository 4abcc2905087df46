package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.hibiscusproxy.admission.ServiceRoom

/** Sums what the targets of a service can do and what is in progress there. */
internal object RoomEstimate {
    /** Room at [targets], which must not be empty, of [service]. */
    fun of(
        targets: List<TargetState>,
        service: ForwardingService?,
        latency: ServiceLatency,
        now: ComparableTimeMark,
    ): ServiceRoom {
        val limits = ArrayList<Double>()
        var slots = 0
        var running = 0
        var busy = 0.0
        var pendingTokens = 0L
        targets.forEach { target ->
            val limit = limit(target, service, now)
            if (limit != null) {
                limits += limit
                return@forEach
            }
            val ofTarget = target.listed.slots.coerceAtLeast(1)
            slots += ofTarget
            running += target.running
            busy += minOf(1.0, target.running.toDouble() / ofTarget)
            pendingTokens += target.pendingTokens
        }
        val full = targets.size - limits.size
        val wait =
            if (pendingTokens > 0) latency.prefillTime(pendingTokens / full) else Duration.ZERO
        return ServiceRoom(full, busy, limits, slots, running, wait)
    }

    /** Requests a second that [target] takes at most; null if only its slots limit them. */
    fun limit(target: TargetState, service: ForwardingService?, now: ComparableTimeMark): Double? {
        val cold = service?.coldRequestsPerSecond ?: 0.0
        val stated = target.statedRate
        return if (cold > 0 && target.isCold(now)) minOf(cold, stated ?: cold) else stated
    }
}
