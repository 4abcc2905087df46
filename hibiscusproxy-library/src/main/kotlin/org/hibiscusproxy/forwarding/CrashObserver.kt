package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.CrashEvidence
import org.hibiscusproxy.protocol.CrashSuspects
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.ObservedCrash
import org.hibiscusproxy.protocol.SurvivedAnswer

/**
 * Collects what this forwarder sees of crashes: targets that ended, and answers to suspects whose
 * targets did not. Evidence is numbered, so that each controller gets what it has not got yet, and
 * a controller that restarted gets all of it. Not thread-safe except for [sequence].
 */
class CrashObserver(private val time: TimeSource.WithComparableMarks) {
    private val crashes = ArrayDeque<Crash>()
    private val answeredAt = LinkedHashMap<Fingerprint, ComparableTimeMark>()
    private var suspectSince: Map<Fingerprint, ComparableTimeMark> = emptyMap()
    private val survivedAnswers = LinkedHashMap<Fingerprint, Survived>()

    /** Number of the latest evidence; 0 if there is none. Readable from any thread. */
    @Volatile
    var sequence: Long = 0
        private set

    /** Whether any fingerprint is a suspect. */
    val hasSuspects: Boolean get() = suspectSince.isNotEmpty()

    /**
     * Whether [request], whose target has just ended, may be sent to another one. Not if targets
     * ended under it before, since it may be what ends them.
     */
    fun maySendAgain(request: Fingerprint): Boolean {
        val answered = answeredAt[request]
        return request !in suspectSince && crashes.none { crash ->
            (answered == null || answered < crash.at) && crash.suspects.any { request in it }
        }
    }

    /** Records that [target] ended when it had just begun to answer the requests [suspects]. */
    fun recordCrash(target: TargetName, suspects: Collection<Set<Fingerprint>>) {
        sequence += 1
        val kept = suspects.take(CrashAnalysis.MAXIMUM_SUSPECTS)
        crashes.addLast(Crash(sequence, target, time.markNow(), kept))
        if (crashes.size > MAXIMUM_CRASHES) crashes.removeFirst()
    }

    /** Records that an answer to [fingerprints], which began at [begunAt], outlived its start. */
    fun recordSurvivedAnswer(fingerprints: Collection<Fingerprint>, begunAt: ComparableTimeMark) {
        for (fingerprint in fingerprints) {
            val known = answeredAt.remove(fingerprint)
            answeredAt[fingerprint] = if (known == null) begunAt else maxOf(known, begunAt)
            if (answeredAt.size > MAXIMUM_ANSWERS) answeredAt.remove(answeredAt.keys.first())
            reportIfSuspect(fingerprint)
        }
    }

    /** Replaces the suspects by those that the leader of the controllers knows. */
    fun updateSuspects(message: CrashSuspects) {
        val now = time.markNow()
        suspectSince = message.suspects.associate {
            it.fingerprint to now - it.ageMilliseconds.milliseconds
        }
        survivedAnswers.keys.retainAll(suspectSince.keys)
        suspectSince.keys.forEach(::reportIfSuspect)
    }

    /** Evidence numbered above [sent], or null if there is none. */
    fun evidenceAfter(sent: Long): CrashEvidence? {
        val newCrashes = crashes.filter { it.sequence > sent }
        val newAnswers = survivedAnswers.filterValues { it.sequence > sent }
        if (newCrashes.isEmpty() && newAnswers.isEmpty()) return null
        return CrashEvidence(
            newCrashes.map {
                ObservedCrash(it.target, it.at.elapsedNow().inWholeMilliseconds, it.suspects)
            },
            newAnswers.map { (fingerprint, survived) ->
                val age = survived.begunAt.elapsedNow().inWholeMilliseconds
                SurvivedAnswer(fingerprint, age)
            },
        )
    }

    private fun reportIfSuspect(fingerprint: Fingerprint) {
        val since = suspectSince[fingerprint] ?: return
        val begunAt = answeredAt[fingerprint] ?: return
        val reported = survivedAnswers[fingerprint]?.begunAt
        if (begunAt < since || reported != null && begunAt <= reported) return
        sequence += 1
        survivedAnswers[fingerprint] = Survived(sequence, begunAt)
    }

    private class Crash(
        val sequence: Long,
        val target: TargetName,
        val at: ComparableTimeMark,
        val suspects: List<Set<Fingerprint>>,
    )

    private class Survived(val sequence: Long, val begunAt: ComparableTimeMark)

    private companion object {
        const val MAXIMUM_CRASHES = 64
        const val MAXIMUM_ANSWERS = 4_096
    }
}
