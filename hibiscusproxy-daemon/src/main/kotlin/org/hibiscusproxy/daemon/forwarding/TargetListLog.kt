package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ListPlacement
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName

/**
 * Counts the lists of targets by what was done with them. Logs those that change what is known of
 * the targets, and those that would have changed it if they had been newer. Used on the event loop
 * only.
 */
internal class TargetListLog(private val registry: MeterRegistry, private val log: RequestLog) {
    private data class Entry(val name: TargetName, val startedAt: Long?, val isLeaving: Boolean)

    private var inUse: Set<Entry>? = null

    /** Records the list of [targets] that [controller] sent and its [placement]. */
    fun record(
        targets: List<DiscoveredTarget>,
        controller: ProcessName,
        placement: ListPlacement,
    ) {
        val result = when (placement) {
            is ListPlacement.Newer -> "used"
            is ListPlacement.Repeated -> "repeated"
            is ListPlacement.Older -> "older"
        }
        registry.counter("forwarder.target.lists", "result", result).increment()
        val entries = targets.mapTo(HashSet()) { Entry(it.name, it.startedAt, it.isLeaving) }
        if (entries == inUse) return
        if (placement is ListPlacement.Newer) inUse = entries
        log.targetList(
            controller,
            result,
            placement.age,
            targets.size,
            targets.count {
                it.isLeaving
            },
        )
    }
}
