package org.hibiscusproxy.control

import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.ControlRefusal
import org.hibiscusproxy.protocol.StoredAnswer

/**
 * Claims of non-repeatable requests, in the order of their last change. Only an explicit release or
 * completion by the attempt that holds a claim ends its claimed phase. An expired deadline changes
 * the outcome reported to other claimants, but not the claim.
 */
internal class ClaimTable(private val limits: ControlLimits) {
    private val records = LinkedHashMap<ClaimKey, ClaimRecord>()
    private var storedBytes = 0L

    val size: Int get() = records.size

    fun claim(command: ClaimAttempt, now: FleetInstant): ClaimOutcome {
        val record = records[command.key]
        if (record == null) {
            val isTooLong = command.key.idempotencyKey.length > limits.maximumKeyLength
            if (isTooLong || records.size >= limits.maximumClaims) {
                return ClaimOutcome.Refused(ControlRefusal.FULL)
            }
            put(ClaimRecord(command.key, command.content, claimed(command, now), emptyList(), now))
            return ClaimOutcome.Granted(command.attempt)
        }
        if (record.content != command.content) return ClaimOutcome.ContentMismatch
        return when (val phase = record.phase) {
            is ClaimPhase.Claimed -> outcomeWhileClaimed(phase, command, now)
            is ClaimPhase.Released -> claimAgain(record, command, now)
            is ClaimPhase.Completed -> ClaimOutcome.Completed(phase.answer)
            is ClaimPhase.NotStored -> ClaimOutcome.AnswerNotStored(phase.status, phase.bytes)
        }
    }

    fun release(key: ClaimKey, attempt: Attempt, now: FleetInstant): Boolean {
        val record = records[key] ?: return false
        val phase = record.phase
        if (phase !is ClaimPhase.Claimed || phase.attempt != attempt) {
            return isUsed(record, attempt) && !isCompletedBy(phase, attempt)
        }
        val used = record.used.filterNot { it.request == attempt.request } + attempt
        put(record.copy(phase = ClaimPhase.Released, used = used, touched = now))
        return true
    }

    fun complete(
        key: ClaimKey,
        attempt: Attempt,
        answer: StoredAnswer,
        now: FleetInstant,
    ): Boolean {
        val record = records[key] ?: return false
        val phase = record.phase
        if (phase !is ClaimPhase.Claimed || phase.attempt != attempt) {
            return isCompletedBy(phase, attempt)
        }
        val bytes = answer.bytes()
        val fits = bytes <= limits.maximumAnswerBytes &&
            storedBytes + bytes <= limits.maximumStoredBytes
        val next = if (fits) {
            ClaimPhase.Completed(attempt, answer)
        } else {
            ClaimPhase.NotStored(attempt, answer.status, bytes)
        }
        put(record.copy(phase = next, touched = now))
        return true
    }

    /** Removes claims whose retention has expired at [now]. */
    fun expire(now: FleetInstant) {
        while (true) {
            val oldest = records.values.firstOrNull() ?: return
            if (oldest.touched + limits.claimRetention > now) return
            remove(oldest.key)
        }
    }

    /** Time at which the oldest claim expires, or null if there are no claims. */
    fun nextExpiry(): FleetInstant? =
        records.values.firstOrNull()?.let { it.touched + limits.claimRetention }

    fun snapshot(): List<ClaimRecord> = records.values.toList()

    fun restore(snapshot: List<ClaimRecord>) {
        records.clear()
        storedBytes = 0
        snapshot.forEach(::put)
    }

    private fun outcomeWhileClaimed(
        phase: ClaimPhase.Claimed,
        command: ClaimAttempt,
        now: FleetInstant,
    ): ClaimOutcome = when {
        phase.attempt == command.attempt && phase.claimant == command.claimant ->
            ClaimOutcome.Granted(phase.attempt)

        now >= phase.deadline -> ClaimOutcome.OutcomeUnknown
        else -> ClaimOutcome.InProgress(phase.attempt)
    }

    private fun claimAgain(
        record: ClaimRecord,
        command: ClaimAttempt,
        now: FleetInstant,
    ): ClaimOutcome {
        val isNewRequest = record.used.none { it.request == command.attempt.request }
        val isExhausted = isNewRequest && record.used.size >= limits.maximumAttemptsPerClaim
        if (isExhausted || isUsed(record, command.attempt)) {
            return ClaimOutcome.AttemptRefused(command.attempt)
        }
        put(record.copy(phase = claimed(command, now), touched = now))
        return ClaimOutcome.Granted(command.attempt)
    }

    private fun claimed(command: ClaimAttempt, now: FleetInstant): ClaimPhase.Claimed {
        val maximumMilliseconds = limits.maximumClaimDeadline.inWholeMilliseconds
        val remainingMilliseconds = command.remainingMilliseconds.coerceIn(0, maximumMilliseconds)
        val deadline = FleetInstant(now.milliseconds + remainingMilliseconds)
        return ClaimPhase.Claimed(command.attempt, command.claimant, deadline)
    }

    private fun isUsed(record: ClaimRecord, attempt: Attempt): Boolean =
        record.used.any { it.request == attempt.request && attempt.number <= it.number }

    private fun isCompletedBy(phase: ClaimPhase, attempt: Attempt): Boolean = when (phase) {
        is ClaimPhase.Completed -> phase.attempt == attempt
        is ClaimPhase.NotStored -> phase.attempt == attempt
        is ClaimPhase.Claimed, is ClaimPhase.Released -> false
    }

    /** Inserts or replaces [record] as the most recently changed one. */
    private fun put(record: ClaimRecord) {
        remove(record.key)
        records[record.key] = record
        storedBytes += record.answerBytes()
    }

    private fun remove(key: ClaimKey) {
        val removed = records.remove(key) ?: return
        storedBytes -= removed.answerBytes()
    }

    private fun ClaimRecord.answerBytes(): Int = when (phase) {
        is ClaimPhase.Completed -> phase.answer.bytes()
        else -> 0
    }

    private fun StoredAnswer.bytes(): Int =
        body.bytes.size + headers.sumOf { it.name.length + it.value.length }
}
