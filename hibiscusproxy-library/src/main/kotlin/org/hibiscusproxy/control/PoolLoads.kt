package org.hibiscusproxy.control

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.PoolLoad

/**
 * Newest load reports. A silent target counts with its last number until its lease has run out,
 * because its requests still run; then it leaves the mean. A target that
 * reports a limit of 0 cannot be reached by its sidecar and is left out, since a mean that counts
 * dead engines would hold the others back. A new leader starts without reports and
 * counts a target from its first renewal.
 */
internal class PoolLoads(private val settings: LeaseSettings) {
    private val reports = HashMap<TargetName, ReportedLoad>()
    private val sums = HashMap<ServiceName, PoolSum>()

    fun report(
        target: Target,
        load: LoadReport,
        now: ComparableTimeMark,
        leaseEnd: ComparableTimeMark,
    ) {
        val until = maxOf(leaseEnd, now + settings.reportAge)
        reports[target.name] = ReportedLoad(load.running, load.limit > 0, until)
    }

    /**
     * Load over the targets of [service] that take new work, up to [SUM_AGE] old.
     *
     * @param countsUnknown whether targets without a report count as idle, which makes the bound
     *   tighter; without them the first target to renew at a new leader would look like a pool of
     *   one, which has no bound
     */
    fun pool(
        service: ServiceName,
        index: TargetIndex,
        now: ComparableTimeMark,
        countsUnknown: Boolean,
    ): PoolLoad {
        val present = sums[service]
        if (present != null && present.index === index && now - present.at < SUM_AGE) {
            return present.load
        }
        return sum(service, index, now, countsUnknown)
            .also { sums[service] = PoolSum(it, index, now) }
    }

    private fun sum(
        service: ServiceName,
        index: TargetIndex,
        now: ComparableTimeMark,
        countsUnknown: Boolean,
    ): PoolLoad {
        var running = 0
        var targets = 0
        for (name in index.targetsIn[service].orEmpty()) {
            val report = reports[name]?.takeIf { it.countsUntil > now }
            if (report == null && !countsUnknown) continue
            if (report != null && !report.takesWork) continue
            running += report?.running ?: 0
            targets += 1
        }
        return PoolLoad(running, targets)
    }

    fun prune(now: ComparableTimeMark) {
        reports.values.removeIf { it.countsUntil <= now }
    }

    private class ReportedLoad(
        val running: Int,
        val takesWork: Boolean,
        val countsUntil: ComparableTimeMark,
    )

    private class PoolSum(val load: PoolLoad, val index: TargetIndex, val at: ComparableTimeMark)

    private companion object {
        /** Without it, 10,000 targets that renew each second take 100 million look-ups a second. */
        val SUM_AGE = 20.milliseconds
    }
}

/** Targets of one fleet state by name, and those that take new work by service. */
internal class TargetIndex(val fleet: FleetState) {
    val targets: Map<TargetName, Target> = fleet.objects.targets.associateBy { it.name }
    val targetsIn: Map<ServiceName, List<TargetName>> = fleet.objects.targets
        .filter { fleet.stateOf(it) == OperationalState.IN }
        .groupBy({ it.service }, { it.name })
}
