package org.hibiscusproxy.timeline

import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Incarnation

/**
 * Merges the events of several processes into one sequence, ordered by wall clock. Preserves the
 * order within each process, and places the start of an attempt after its dispatch even if the
 * clocks of the two processes differ.
 */
object Timeline {
    /** Returns all [records] in one sequence. */
    fun merge(records: Collection<TimelineRecord>): List<TimelineRecord> {
        val dispatches = records.mapNotNullTo(HashSet()) { it.event.dispatchedAttempt() }
        val queues = records
            .groupBy { ProcessStart(it.process, it.incarnation) }
            .values
            .map { queue -> ArrayDeque(queue.sortedBy { it.sequence }) }
        val merged = ArrayList<TimelineRecord>(records.size)
        val dispatched = HashSet<Attempt>()
        while (merged.size < records.size) {
            val heads = queues.filter { it.isNotEmpty() }
            val ready = heads.filter { it.first().event.isAfterDispatch(dispatches, dispatched) }
            val next = ready.ifEmpty { heads }.minWith(headOrder).removeFirst()
            next.event.dispatchedAttempt()?.let { dispatched += it }
            merged += next
        }
        return merged
    }

    private data class ProcessStart(val process: ProcessName, val incarnation: Incarnation)

    private val headOrder: Comparator<ArrayDeque<TimelineRecord>> =
        compareBy({ it.first().epochMilliseconds }, { it.first().process.value })

    private fun FleetEvent.dispatchedAttempt(): Attempt? =
        (this as? FleetEvent.AttemptDispatched)?.attempt

    private fun FleetEvent.isAfterDispatch(all: Set<Attempt>, dispatched: Set<Attempt>): Boolean =
        when (this) {
            is FleetEvent.AttemptStarted -> attempt !in all || attempt in dispatched
            is FleetEvent.AttemptNotRun -> attempt !in all || attempt in dispatched
            else -> true
        }
}
