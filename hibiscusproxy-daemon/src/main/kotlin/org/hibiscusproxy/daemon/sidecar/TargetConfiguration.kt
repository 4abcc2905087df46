package org.hibiscusproxy.daemon.sidecar

import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.TargetName

/** Published configuration of one target. Written by one thread, read by any number. */
internal class TargetConfiguration(private val target: TargetName) {
    /** Newest version received. */
    @Volatile
    var version = 0L
        private set

    /** Whether the target reports its load. Plain services may use the path for anything else. */
    @Volatile
    var hasLoadReport = false
        private set

    /** Number of requests that the target can run concurrently. */
    @Volatile
    var capacity = 0
        private set

    /** Applies [state]. Returns false if it is not newer. */
    fun update(state: FleetState): Boolean {
        if (state.version <= version) return false
        version = state.version
        hasLoadReport = state.objects.hasLoadReport()
        capacity = state.objects.targets.find { it.name == target }?.capacity ?: 0
        return true
    }

    /** Advances to [confirmed], which leaves the target as it is; false if it is not newer. */
    fun confirm(confirmed: Long): Boolean {
        if (confirmed <= version) return false
        version = confirmed
        return true
    }

    private fun FleetObjects.hasLoadReport(): Boolean {
        val service = targets.find { it.name == target }?.service
        return services.any { it.name == service && it.kind is ServiceKind.Chat }
    }
}
