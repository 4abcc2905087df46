package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.StateSource
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.TargetName

/**
 * Applies the platform's list of instances to target states. The target of a leaving instance is
 * taken out of service; a target that was taken out this way returns when its instance is live again.
 * A target whose instance disappears from the list keeps its state. Targets have the same names as
 * their instances. Used by the worker only.
 */
internal class PlatformService(
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    private val pending = HashSet<TargetName>()
    private var newestVersion = -1L

    /** Applies [list] unless a newer one was seen before, as lists may arrive out of order. */
    fun apply(list: InstanceList) {
        if (list.version < newestVersion) return
        newestVersion = list.version
        val targets = state.fleet.objects.targets.mapTo(HashSet()) { it.name }
        for (instance in list.instances) {
            val target = TargetName(instance.name)
            val isOut = target in state.targetsOutByPlatform
            val isLeaving = instance.state == InstanceState.LEAVING
            if (target in targets && isOut != isLeaving) propose(target, isLeaving, list.version)
        }
    }

    /**
     * The identifier is derived from the version of the list, so that reading a list twice proposes
     * no second change: a target that an operator returns to service stays there even though the
     * same list still reports its instance as leaving.
     */
    private fun propose(target: TargetName, isLeaving: Boolean, version: Long) {
        val leader = leadership.active() ?: return
        if (!pending.add(target)) return
        val newState = if (isLeaving) OperationalState.OUT else OperationalState.IN
        val command = ChangeCommand.SetTargetState(
            ChangeIdentifier("platform-$version-$target-${newState.name.lowercase()}"),
            target,
            newState,
            leader.fleetTime(time.markNow()),
            StateSource.PLATFORM,
        )
        proposals.propose(command) { pending.remove(target) }
    }
}
