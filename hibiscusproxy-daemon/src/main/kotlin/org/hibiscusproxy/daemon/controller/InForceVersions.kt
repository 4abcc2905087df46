package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ControlState

/** Since when this leader knows that versions are in force everywhere. Used by the worker only. */
internal class InForceVersions(
    private val state: ControlState,
    private val leadership: Leadership,
    private val time: TimeSource.WithComparableMarks,
) {
    private val since = LinkedHashMap<Long, ComparableTimeMark>()
    private var next: Long? = null

    /** Instant at which [version] was seen in force; null when it is not, or long ago. */
    fun since(version: Long): ComparableTimeMark? = since[version]

    /** Looks which versions have come into force. */
    fun advance() {
        val granter = leadership.active()?.granter ?: return
        val newest = state.fleet.version
        var version = next ?: maxOf(1, newest - REMEMBERED_VERSIONS + 1)
        val now = time.markNow()
        while (version <= newest && granter.progress(version, state, now).isInForce) {
            since[version] = now
            if (since.size > REMEMBERED_VERSIONS) since.remove(since.keys.first())
            version += 1
        }
        next = version
    }

    /** Forgets everything, because another leader may have changed it. */
    fun reset() {
        since.clear()
        next = null
    }

    private companion object {
        const val REMEMBERED_VERSIONS = 1_000
    }
}
