package org.hibiscusproxy.control

import java.security.MessageDigest
import org.hibiscusproxy.protocol.Payload

/** Operators' changes with their original outcomes, oldest first. */
internal class ChangeTable(private val limits: ControlLimits) {
    private val records = LinkedHashMap<ChangeIdentifier, RecordedChange>()

    fun outcomeOf(change: ChangeIdentifier): ChangeOutcome? = records[change]?.outcome

    /**
     * Returns the original outcome if [command] is a resend, [ChangeOutcome.IdentifierReused] if
     * its identifier belongs to another change, and null if the change is new.
     */
    fun outcomeOfResend(command: ChangeCommand): ChangeOutcome? {
        val record = records[command.change] ?: return null
        if (record.digest == digest(command)) return record.outcome
        return ChangeOutcome.IdentifierReused(command.change)
    }

    fun record(command: ChangeCommand, outcome: ChangeOutcome, now: FleetInstant) {
        val record = RecordedChange(command.change, digest(command), outcome, now)
        records[command.change] = record
        if (records.size > limits.maximumChanges) records.remove(records.keys.first())
    }

    /** Removes changes whose retention has expired at [now]. */
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
