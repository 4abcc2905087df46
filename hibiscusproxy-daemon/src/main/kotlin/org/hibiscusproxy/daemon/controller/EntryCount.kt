package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.ProcessName

/**
 * Number of entries that may send requests to targets. Every controller counts, because entries
 * connect to all of them, so a new leader knows those that the former one knew. An entry that is not
 * connected any more counts for [LIFETIME], since it may only be cut off from this controller.
 */
internal class EntryCount(private val time: TimeSource.WithComparableMarks) {
    private val startedAt = time.markNow()
    private val contacts = HashMap<ProcessName, ComparableTimeMark>()

    /** Records that [name] connected or was connected until now. */
    fun recordContact(name: ProcessName) {
        contacts[name] = time.markNow()
    }

    /** Number of entries, with [connected] being those now; null for [START_TIME] after the start. */
    fun count(connected: Collection<ProcessName>): Int? {
        if (startedAt.elapsedNow() < START_TIME) return null
        connected.forEach(::recordContact)
        contacts.values.removeAll { it.elapsedNow() > LIFETIME }
        return contacts.size
    }

    private companion object {
        /** Exceeds the time that an entry needs to be back after a crash or a network partition. */
        val LIFETIME = 5.minutes

        /** Entries that run connect within half a second. */
        val START_TIME = 3.seconds
    }
}
