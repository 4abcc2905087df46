package org.hibiscusproxy.control

import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjectsCheck
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ObjectKind
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.TargetName

/**
 * The fleet state and the versions at which its parts last changed. A change without effect is
 * accepted with the version at which the part last changed and creates no new version.
 */
internal class FleetTable {
    var state: FleetState = FleetState()
        private set
    var hasRemovedTargets: Boolean = false
        private set
    private var objectsVersion = 0L
    private val dataCenterVersions = sortedMapOf<DataCenterName, Long>(compareBy { it.value })
    private val targetVersions = sortedMapOf<TargetName, Long>(compareBy { it.value })
    private var outByOperators = emptySet<TargetName>()
    var outByPlatform: Set<TargetName> = emptySet()
        private set

    fun apply(command: ChangeCommand): ChangeOutcome = when (command) {
        is ChangeCommand.PublishObjects -> publish(command)
        is ChangeCommand.SetDataCenterState -> setDataCenter(command)
        is ChangeCommand.SetTargetState -> setTarget(command)
    }

    private fun publish(command: ChangeCommand.PublishObjects): ChangeOutcome {
        val faults = FleetObjectsCheck.faults(command.objects)
        if (faults.isNotEmpty()) return ChangeOutcome.Invalid(faults)
        conflict(command.basedOn, objectsVersion)?.let { return it }
        if (objectsVersion > 0 && command.objects == state.objects) {
            return ChangeOutcome.Accepted(objectsVersion)
        }
        objectsVersion = state.version + 1
        val names = command.objects.targets.mapTo(HashSet()) { it.name }
        if (state.objects.targets.any { it.name !in names }) hasRemovedTargets = true
        state = state.copy(version = objectsVersion, objects = command.objects)
        return ChangeOutcome.Accepted(objectsVersion)
    }

    private fun setDataCenter(command: ChangeCommand.SetDataCenterState): ChangeOutcome {
        val name = command.dataCenter
        val wasOut = name in state.dataCentersOut
        if (!wasOut && state.objects.dataCenters.none { it.name == name }) {
            return ChangeOutcome.UnknownObject(ObjectKind.DATA_CENTER, name.value)
        }
        val changedAt = dataCenterVersions[name] ?: 0
        conflict(command.basedOn, changedAt)?.let { return it }
        val out = command.state == OperationalState.OUT
        if (out == wasOut) return ChangeOutcome.Accepted(versionOfState(changedAt))
        val all = if (out) state.dataCentersOut + name else state.dataCentersOut - name
        state = state.copy(version = state.version + 1, dataCentersOut = all)
        dataCenterVersions[name] = state.version
        return ChangeOutcome.Accepted(state.version)
    }

    private fun setTarget(command: ChangeCommand.SetTargetState): ChangeOutcome {
        val name = command.target
        val wasOut = name in state.targetsOut
        if (!wasOut && state.objects.targets.none { it.name == name }) {
            return ChangeOutcome.UnknownObject(ObjectKind.TARGET, name.value)
        }
        val changedAt = targetVersions[name] ?: 0
        conflict(command.basedOn, changedAt)?.let { return it }
        recordSource(command)
        val out = name in outByOperators || name in outByPlatform
        if (out == wasOut) return ChangeOutcome.Accepted(versionOfState(changedAt))
        val all = if (out) state.targetsOut + name else state.targetsOut - name
        state = state.copy(version = state.version + 1, targetsOut = all)
        targetVersions[name] = state.version
        return ChangeOutcome.Accepted(state.version)
    }

    private fun recordSource(command: ChangeCommand.SetTargetState) {
        val name = command.target
        val isOut = command.state == OperationalState.OUT
        when (command.source) {
            StateSource.PLATFORM -> outByPlatform = outByPlatform.with(name, isOut)

            StateSource.OPERATOR -> {
                outByOperators = outByOperators.with(name, isOut)
                if (!isOut) outByPlatform = outByPlatform - name
            }
        }
    }

    private fun Set<TargetName>.with(name: TargetName, present: Boolean): Set<TargetName> =
        if (present) this + name else this - name

    /** Version of a part's state: that of the published objects if it never changed separately. */
    private fun versionOfState(changedAt: Long): Long =
        if (changedAt > 0) changedAt else objectsVersion

    private fun conflict(basedOn: Long?, changedAt: Long): ChangeOutcome? {
        if (basedOn == null || basedOn in changedAt..state.version) return null
        return ChangeOutcome.Conflict(basedOn, changedAt)
    }

    fun snapshot(): FleetSnapshot = FleetSnapshot(
        state = state,
        objectsVersion = objectsVersion,
        hasRemovedTargets = hasRemovedTargets,
        dataCenterVersions = dataCenterVersions.map { DataCenterVersion(it.key, it.value) },
        targetVersions = targetVersions.map { TargetVersion(it.key, it.value) },
        takenOutByOperators = outByOperators,
        takenOutByPlatform = outByPlatform,
    )

    fun restore(snapshot: FleetSnapshot) {
        state = snapshot.state
        objectsVersion = snapshot.objectsVersion
        hasRemovedTargets = snapshot.hasRemovedTargets
        dataCenterVersions.clear()
        snapshot.dataCenterVersions.associateTo(dataCenterVersions) { it.name to it.version }
        targetVersions.clear()
        snapshot.targetVersions.associateTo(targetVersions) { it.name to it.version }
        outByOperators = snapshot.takenOutByOperators
        outByPlatform = snapshot.takenOutByPlatform
    }
}
