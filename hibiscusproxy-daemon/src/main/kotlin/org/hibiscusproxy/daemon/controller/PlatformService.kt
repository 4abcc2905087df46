package org.hibiscusproxy.daemon.controller

import kotlin.time.TimeSource
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.StateSource
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.TargetName

/**
 * Turns the platform's list of instances into target states: a leaving instance is taken out, one
 * that the list took out and that is live again is returned. An instance that disappears stays as
 * it is. Targets bear the names of their instances. Used by the worker only.
 */
internal class PlatformService(
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    private val pending = HashSet<TargetName>()
    private var newestVersion = -1L

    /** Acts on [list] unless a newer one was seen before, as lists may arrive late. */
    fun take(list: InstanceList) {
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
     * The identifier follows from the list, so that a list read twice changes nothing twice: when
     * an operator returns a target that still is on the same list as leaving, it stays in service.
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
