package org.hibiscusproxy.control

import java.security.MessageDigest
import org.hibiscusproxy.protocol.Payload

/** Operators' changes with their first answers, in the order in which they were made. */
internal class ChangeTable(private val limits: ControlLimits) {
    private val records = LinkedHashMap<ChangeIdentifier, RecordedChange>()

    fun outcomeOf(change: ChangeIdentifier): ChangeOutcome? = records[change]?.outcome

    /** The first answer when [command] is a resend, a refusal when its identifier is in use. */
    fun answerToResend(command: ChangeCommand): ChangeOutcome? {
        val record = records[command.change] ?: return null
        if (record.digest == digest(command)) return record.outcome
        return ChangeOutcome.IdentifierReused(command.change)
    }

    fun record(command: ChangeCommand, outcome: ChangeOutcome, now: FleetInstant) {
        val record = RecordedChange(command.change, digest(command), outcome, now)
        records[command.change] = record
        if (records.size > limits.maximumChanges) records.remove(records.keys.first())
    }

    /** Forgets changes whose retention time has passed at [now]. */
    fun expire(now: FleetInstant) {
        while (true) {
            val oldest = records.values.firstOrNull() ?: return
            if (oldest.at + limits.changeRetention > now) return
            records.remove(oldest.change)
        }
    }

    fun nextExpiry(): FleetInstant? =
        records.values.firstOrNull()?.let { it.at + limits.changeRetention }

    fun snapshot(): List<RecordedChange> = records.values.toList()

    fun restore(snapshot: List<RecordedChange>) {
        records.clear()
        snapshot.associateByTo(records) { it.change }
    }

    private fun digest(command: ChangeCommand): Payload {
        val content = ControlCodec.encode(command.content())
        return Payload(MessageDigest.getInstance("SHA-256").digest(content.bytes))
    }
}
