package org.hibiscusproxy.daemon.sidecar

import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.TargetName

/** What the published objects say of the sidecar's target. Written by one thread, read by many. */
internal class TargetConfiguration(private val target: TargetName) {
    /** Newest version seen. */
    @Volatile
    var version = 0L
        private set

    /** Only engines report their load; on a plain service the path may mean anything. */
    @Volatile
    var hasLoadReport = false
        private set

    /** Requests that the target can run at once. */
    @Volatile
    var capacity = 0
        private set

    /** Takes [state]; false when it is not newer. */
    fun take(state: FleetState): Boolean {
        if (state.version <= version) return false
        version = state.version
        hasLoadReport = state.objects.hasLoadReport()
        capacity = state.objects.targets.find { it.name == target }?.capacity ?: 0
        return true
    }

    /** Nothing that concerns the target changed up to [confirmed]; false when it is not newer. */
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
