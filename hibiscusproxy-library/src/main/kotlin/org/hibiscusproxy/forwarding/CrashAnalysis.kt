package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Finds the requests and parts of prompts that crash targets, from what all forwarders report.
 *
 * Each crash has suspects: the requests that the target had just begun to answer, each with its
 * fingerprints. Most of them only happened to be there. The cause is told from them in three ways:
 *
 * - An answer that outlives its start clears its fingerprints of all earlier crashes. The cause
 *   never has such an answer.
 * - A fingerprint has to be a suspect of several crashes, at different moments, since targets that
 *   end at the same moment may share another cause, and of more crashes than other suspects.
 * - A crash that a known cause explains does not count against the other suspects.
 *
 * Fingerprints that occurred together in these crashes are one cause: requests that have all of
 * them. Not thread-safe.
 */
class CrashAnalysis(private val time: TimeSource.WithComparableMarks) {
    private val crashes = ArrayDeque<Crash>()
    private val survivedAt = LinkedHashMap<Fingerprint, ComparableTimeMark>()

    /** Number of crashes without a known cause. */
    val unexplained: Int get() = crashes.count { !it.isExplained }

    /** Records that [target] ended [age] ago; several forwarders may report the same crash. */
    fun recordCrash(target: TargetName, age: Duration, suspects: List<Set<Fingerprint>>) {
        val at = time.markNow() - age
        val known = crashes.firstOrNull {
            it.target == target && (it.at - at).absoluteValue < SAME_CRASH
        }
        val crash = known ?: Crash(target, at).also(::insert)
        crash.suspects += suspects.take(MAXIMUM_SUSPECTS - crash.suspects.size)
    }

    /** Records that an answer to [fingerprint], begun [age] ago, outlived its start. */
    fun recordSurvivedAnswer(fingerprint: Fingerprint, age: Duration) {
        val begunAt = time.markNow() - age
        val known = survivedAt.remove(fingerprint)
        survivedAt[fingerprint] = if (known == null) begunAt else maxOf(known, begunAt)
        if (survivedAt.size > MAXIMUM_SURVIVED) survivedAt.remove(survivedAt.keys.first())
    }

    /** Lets the crashes that [causes] explain count against no other suspect. */
    fun explain(causes: Collection<Set<Fingerprint>>) {
        crashes.filter { it.isExplainedBy(causes) }.forEach { it.isExplained = true }
    }

    /** Whether an answer to [fingerprint] that began less than [age] ago outlived its start. */
    fun hasSurvivedAnswer(fingerprint: Fingerprint, age: Duration): Boolean =
        survivedAt[fingerprint].let { it != null && it.elapsedNow() < age }

    /** The suspects of most crashes without a known cause, with the number of these crashes. */
    fun leadingSuspects(): Map<Fingerprint, Int> =
        evidence(crashes.filterNot { it.isExplained }).entries
            .associate { it.key to weight(it.key, it.value) }.entries
            .sortedByDescending { it.value }
            .take(LEADING_SUSPECTS)
            .associate { it.key to it.value }

    /** Suspect fingerprints with the time since their first crash; those of most crashes first. */
    fun suspects(): Map<Fingerprint, Duration> {
        expire()
        return evidence(crashes.filterNot { it.isExplained }).entries
            .sortedByDescending { it.value.size }
            .take(MAXIMUM_REPORTED_SUSPECTS)
            .associate { it.key to it.value.first().at.elapsedNow() }
    }

    /**
     * Returns the causes found, each of them the fingerprints that a request must have.
     *
     * @param refused causes found before, in force or remembered; fewer crashes are then sufficient
     */
    fun causes(refused: Collection<Set<Fingerprint>> = emptyList()): Set<Set<Fingerprint>> {
        expire()
        val found = LinkedHashSet<Set<Fingerprint>>()
        while (true) {
            val open = crashes.filter { !it.isExplained && !it.isExplainedBy(found) }
            found += nextCause(evidence(open), refused) ?: return found
        }
    }

    /**
     * Returns what might be the cause of as many crashes as [causes] requires, but cannot be told
     * from other suspects, with the number of these crashes. Refusing it for a short time stops the
     * crashes if it is the cause, and lets its next answer tell whether it is.
     */
    fun undecidedCauses(refused: Collection<Set<Fingerprint>>): Map<Set<Fingerprint>, Int> {
        val open = crashes.filter { !it.isExplained && !it.isExplainedBy(refused) }
        val undecided = LinkedHashMap<Set<Fingerprint>, Int>()
        for ((fingerprint, own) in evidence(open).entries) {
            val count = weight(fingerprint, own)
            val required = requiredCrashes(fingerprint, own, refused)
            // A refusal of what most requests have would stop the service.
            if (isCommon(fingerprint, own)) continue
            if (count < required || own.first().at.elapsedNow() < ANSWER_REPORT_TIME) continue
            undecided.merge(mostSpecificCause(fingerprint, own, required), count, ::maxOf)
        }
        return undecided
    }

    private fun nextCause(
        evidence: Map<Fingerprint, List<Crash>>,
        refused: Collection<Set<Fingerprint>>,
    ): Set<Fingerprint>? {
        val weights = evidence.mapValues { (fingerprint, own) -> weight(fingerprint, own) }
        for ((fingerprint, own) in evidence.entries.sortedByDescending { weights[it.key] }) {
            val required = requiredCrashes(fingerprint, own, refused)
            if (weights.getValue(fingerprint) < required) continue
            val isKnown = setOf(fingerprint) in refused
            // Bystanders of crashes within a shorter time had no chance to be answered.
            if (!isKnown && own.last().at - own.first().at < ANSWER_REPORT_TIME) continue
            if (!isKnown && own.first().at.elapsedNow() < ANSWER_REPORT_TIME) continue
            val cause = mostSpecificCause(fingerprint, own, required)
            val explained = own.filter { it.isExplainedBy(listOf(cause)) }
            val count = weight(fingerprint, explained)
            val hasRival = explained.any { crash ->
                crash.fingerprints.any { it !in cause && (weights[it] ?: 0) >= count }
            }
            if (!hasRival) return cause
        }
        return null
    }

    /**
     * The most fingerprints, [fingerprint] among them, that requests had together in nearly all of
     * [own] and at least [required] crashes. Refusing only requests with all of them spares sound
     * requests that share some.
     */
    private fun mostSpecificCause(
        fingerprint: Fingerprint,
        own: List<Crash>,
        required: Int,
    ): Set<Fingerprint> {
        val combinations = LinkedHashMap<Set<Fingerprint>, LinkedHashSet<Crash>>()
        for (crash in own) {
            for (request in crash.suspects.filter { fingerprint in it }) {
                val others = request.filter { it != fingerprint && !isCleared(it, crash) }
                for (combination in subsets(others.take(MAXIMUM_COMPANIONS))) {
                    combinations.getOrPut(combination + fingerprint) { LinkedHashSet() } += crash
                }
            }
        }
        val least = maxOf(required, weight(fingerprint, own) - TOLERATED_COINCIDENCES)
        return combinations.filterValues { weight(fingerprint, it.toList()) >= least }.keys
            .maxBy { it.size }
    }

    private fun subsets(members: List<Fingerprint>): List<Set<Fingerprint>> =
        members.fold(listOf(emptySet())) { sets, member -> sets + sets.map { it + member } }

    private fun requiredCrashes(
        fingerprint: Fingerprint,
        own: List<Crash>,
        refused: Collection<Set<Fingerprint>>,
    ): Int = when {
        isCommon(fingerprint, own) -> CRASHES_OF_COMMON_PART
        setOf(fingerprint) in refused -> CRASHES_OF_KNOWN_CAUSE
        refused.any { fingerprint in it } -> CRASHES_OF_PARTLY_KNOWN_CAUSE
        else -> CRASHES_OF_UNKNOWN_CAUSE
    }

    /** Whether most of the suspects have [fingerprint], so that refusing it would stop the service. */
    private fun isCommon(fingerprint: Fingerprint, own: List<Crash>): Boolean {
        val suspects = own.flatMap { it.suspects }
        val count = suspects.count { fingerprint in it }
        return suspects.size >= MINIMUM_SUSPECTS_OF_COMMON_PART && count * 2 > suspects.size
    }

    /** The crashes that count against each fingerprint, oldest first. */
    private fun evidence(open: List<Crash>): Map<Fingerprint, List<Crash>> {
        val evidence = LinkedHashMap<Fingerprint, MutableList<Crash>>()
        for (crash in open) {
            for (suspect in crash.fingerprints) {
                if (!isCleared(suspect, crash)) {
                    evidence.getOrPut(suspect) { ArrayList() } += crash
                }
            }
        }
        return evidence
    }

    private fun isCleared(suspect: Fingerprint, crash: Crash): Boolean =
        survivedAt[suspect].let { it != null && it >= crash.at }

    /**
     * Number of [own] crashes that count against [fingerprint]. Targets that end at the same moment
     * may share another cause, and parts of prompts are at many targets at any moment; the same
     * whole request is at several of them only if it came several times.
     */
    private fun weight(fingerprint: Fingerprint, own: List<Crash>): Int =
        if (own.all { fingerprint in it.requests }) own.size else occasions(own)

    /** Number of different moments at which [own] took place. */
    private fun occasions(own: List<Crash>): Int {
        var count = 0
        var start: ComparableTimeMark? = null
        for (crash in own) {
            if (start != null && crash.at - start < SAME_MOMENT) continue
            start = crash.at
            count += 1
        }
        return count
    }

    private fun insert(crash: Crash) {
        val index = crashes.indexOfLast { it.at <= crash.at } + 1
        crashes.add(index, crash)
        if (crashes.size > MAXIMUM_CRASHES) crashes.removeFirst()
    }

    private fun expire() {
        crashes.removeAll { it.at.elapsedNow() > RETENTION }
        survivedAt.values.removeAll { it.elapsedNow() > RETENTION }
    }

    /** Explained crashes are kept as well, since other forwarders may still report them. */
    private class Crash(val target: TargetName, val at: ComparableTimeMark) {
        val suspects = LinkedHashSet<Set<Fingerprint>>()
        var isExplained = false

        val fingerprints: Set<Fingerprint> get() = suspects.flatMapTo(LinkedHashSet()) { it }

        /** Fingerprints of whole requests. */
        val requests: Set<Fingerprint> get() = suspects.mapNotNullTo(HashSet()) { it.lastOrNull() }

        fun isExplainedBy(causes: Collection<Set<Fingerprint>>): Boolean =
            causes.any { cause -> suspects.any { it.containsAll(cause) } }
    }

    companion object {
        /** How long after the start of an answer a crash of its target may be due to it. */
        val ANSWER_START: Duration = 250.milliseconds

        /** Suspect requests kept of one crash. */
        const val MAXIMUM_SUSPECTS: Int = 128

        /** Crashes at different moments from which a suspect is treated as the cause. */
        private const val CRASHES_OF_UNKNOWN_CAUSE = 3

        /** The same for a part that most of the suspects have. */
        private const val CRASHES_OF_COMMON_PART = 6
        private const val MINIMUM_SUSPECTS_OF_COMMON_PART = 8

        /** The same for one of several fingerprints that could not be told apart. */
        private const val CRASHES_OF_PARTLY_KNOWN_CAUSE = 2

        /** The same for a fingerprint that was refused by itself before. */
        private const val CRASHES_OF_KNOWN_CAUSE = 1

        /** Within this time, forwarders have reported answers that began after a crash. */
        private val ANSWER_REPORT_TIME = ANSWER_START + 750.milliseconds

        /** Reports of a crash by different forwarders differ by less; a restart takes longer. */
        private val SAME_CRASH = 2.seconds
        private val SAME_MOMENT = 200.milliseconds
        private val RETENTION = 10.minutes
        private const val MAXIMUM_CRASHES = 256
        private const val MAXIMUM_REPORTED_SUSPECTS = 64
        private const val MAXIMUM_SURVIVED = 4_096
        private const val LEADING_SUSPECTS = 5

        /** Crashes with a fingerprint that may be due to something else. */
        private const val TOLERATED_COINCIDENCES = 1

        /** Bounds the combinations of fingerprints that are weighed. */
        private const val MAXIMUM_COMPANIONS = 6
    }
}
