package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import org.hibiscusproxy.protocol.Fingerprint

/** Records what a [CrashSimulation] does and checks the users' bounds on it. */
internal class CrashRecorder(
    private val startedAt: TimeMark,
    private val causes: Set<Fingerprint>,
    private val kind: CrashSimulation.Kind,
) {
    private val crashes = HashMap<Fingerprint, MutableList<Duration>>()
    private val soundArrivals = mutableListOf<SoundArrival>()
    private val arrivals = HashMap<Fingerprint, MutableList<Duration>>()

    /** Broken bounds, if any. */
    val violations = mutableListOf<String>()

    /** Sound requests after the crashes were to be over, and those of them that were refused. */
    var soundLate = 0
        private set
    var soundRefused = 0
        private set

    /** Records that a request with [parts] reached an entry. */
    fun arrived(parts: List<Fingerprint>, isRefused: Boolean) {
        val isSound = parts.none { it in causes }
        if (isSound) soundArrivals += SoundArrival(startedAt.elapsedNow(), isRefused)
    }

    /** Records that a request with [parts] was sent to an engine. */
    fun sentOn(parts: List<Fingerprint>) = parts.filter { it in causes }.forEach {
        arrivals.getOrPut(it) { mutableListOf() } += startedAt.elapsedNow()
    }

    /** Records that [cause] crashed an engine. */
    fun crashed(cause: Fingerprint) {
        crashes.getOrPut(cause) { mutableListOf() } += startedAt.elapsedNow()
    }

    fun check() {
        val limit = crashes.values.mapNotNull { it.getOrNull(4) ?: it.lastOrNull() }.maxOrNull()
        val late = soundArrivals.filter { limit != null && it.at > limit + CONTACT_TIME * 2 }
        soundRefused = late.count { it.isRefused }
        soundLate = late.size
        if (soundRefused * 2 > soundLate) violations += "$soundRefused of $soundLate refused"
        causes.forEach(::checkArrivals)
    }

    private fun checkArrivals(cause: Fingerprint) {
        val allowed = if (kind == CrashSimulation.Kind.PARTS) 5 else 3
        val last = crashes[cause].orEmpty().getOrNull(allowed - 1) ?: return
        val late = arrivals[cause].orEmpty().filter { it > last + CONTACT_TIME }
        if (late.size <= 3) return
        violations += "${late.size} arrivals of $cause later than the limit: $late, " +
            "crashes ${crashes[cause]}"
    }

    private class SoundArrival(val at: Duration, val isRefused: Boolean)

    companion object {
        val CONTACT_TIME: Duration = 3.seconds
    }
}
