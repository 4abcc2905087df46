package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.minutes
import org.hibiscusproxy.model.TargetName

/**
 * Notices of all targets. They outlive a target's absence from the list, because a list may lack a
 * target for a moment and another incarnation is told by its start. Not thread-safe.
 */
internal class TargetNotices {
    private val entries = LinkedHashMap<TargetName, Entry>()

    private class Entry(
        var target: DiscoveredTarget,
        val notice: TargetNotice,
        var listedAt: ComparableTimeMark,
    )

    /** Returns the notice of [target], a new one if it is another incarnation than before. */
    fun of(target: DiscoveredTarget, now: ComparableTimeMark): TargetNotice {
        val known = entries[target.name]?.takeIf { it.target.isSameIncarnation(target) }
        val entry = known ?: Entry(target, TargetNotice(), now)
        entry.target = target
        entry.listedAt = now
        entries[target.name] = entry
        return entry.notice
    }

    /** Forgets targets that were last listed long before [now]. */
    fun forgetUnlisted(now: ComparableTimeMark) {
        entries.values.removeAll { now - it.listedAt > RETENTION }
    }

    private companion object {
        val RETENTION = 10.minutes
    }
}
