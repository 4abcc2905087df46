package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ControlState

/** Records when this leader found versions to be in force everywhere. Used by the worker only. */
internal class InForceVersions(
    private val state: ControlState,
    private val leadership: Leadership,
    private val time: TimeSource.WithComparableMarks,
) {
    private val foundAt = LinkedHashMap<Long, ComparableTimeMark>()
    private var next: Long? = null

    /** Returns when [version] was found in force; null if it is not, or is no longer recorded. */
    fun since(version: Long): ComparableTimeMark? = foundAt[version]

    /** Records the versions that have come into force since the last call. */
    fun advance() {
        val granter = leadership.active()?.granter ?: return
        val newest = state.fleet.version
        var version = next ?: maxOf(1, newest - MAXIMUM_VERSIONS + 1)
        val now = time.markNow()
        while (version <= newest && granter.progress(version, state, now).isInForce) {
            foundAt[version] = now
            if (foundAt.size > MAXIMUM_VERSIONS) foundAt.remove(foundAt.keys.first())
            version += 1
        }
        next = version
    }

    /** Discards all records on a change of leadership, as they may no longer hold. */
    fun reset() {
        foundAt.clear()
        next = null
    }

    private companion object {
        const val MAXIMUM_VERSIONS = 1_000
    }
}
