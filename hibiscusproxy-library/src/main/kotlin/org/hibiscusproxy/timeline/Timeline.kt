package org.hibiscusproxy.timeline

import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Incarnation

/**
 * Merges the events of many processes into one order: by wall clock, with the order of each process
 * kept, and with the start of an attempt after its dispatch even when the clocks of the two
 * processes disagree.
 */
object Timeline {
    /** All [records] in one order. */
    fun merge(records: Collection<TimelineRecord>): List<TimelineRecord> {
        val dispatches = records.mapNotNullTo(HashSet()) { it.event.dispatchedAttempt() }
        val queues = records
            .groupBy { ProcessStart(it.process, it.incarnation) }
            .values
            .map { of -> ArrayDeque(of.sortedBy { it.sequence }) }
        val merged = ArrayList<TimelineRecord>(records.size)
        val seen = HashSet<Attempt>()
        while (merged.size < records.size) {
            val heads = queues.filter { it.isNotEmpty() }
            val free = heads.filter { it.first().event.isAfterDispatch(dispatches, seen) }
            val next = (free.ifEmpty { heads }).minWith(headOrder).removeFirst()
            next.event.dispatchedAttempt()?.let { seen += it }
            merged += next
        }
        return merged
    }

    private data class ProcessStart(val process: ProcessName, val incarnation: Incarnation)

    private val headOrder: Comparator<ArrayDeque<TimelineRecord>> =
        compareBy({ it.first().epochMilliseconds }, { it.first().process.value })

    private fun FleetEvent.dispatchedAttempt(): Attempt? =
        (this as? FleetEvent.AttemptDispatched)?.attempt

    private fun FleetEvent.isAfterDispatch(all: Set<Attempt>, seen: Set<Attempt>): Boolean =
        when (this) {
            is FleetEvent.AttemptStarted -> attempt !in all || attempt in seen
            is FleetEvent.AttemptNotRun -> attempt !in all || attempt in seen
            else -> true
        }
}
