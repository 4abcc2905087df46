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
 * Latest load reports of the targets. The last report of a silent target counts until its lease has
 * expired, because its requests may still run; after that the target is left out of the mean. A
 * target that reports a limit of 0 is unreachable for its sidecar and is left out as well, since
 * dead engines would lower the mean and thereby the bound of the others. A new leader starts
 * without reports and counts a target from its first renewal.
 */
internal class PoolLoads(private val settings: LeaseSettings) {
    private val reports = HashMap<TargetName, ReportedLoad>()
    private val sums = HashMap<ServiceName, CachedSum>()

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
     * Returns the load of the targets of [service] that take new work, cached for
     * [SUM_CACHE_DURATION].
     *
     * @param countsUnreported whether targets without a report count as idle, which tightens the
     *   bound. Without them, the first target to renew at a new leader would look like a pool of
     *   one target, which is unbounded.
     */
    fun pool(
        service: ServiceName,
        index: TargetIndex,
        now: ComparableTimeMark,
        countsUnreported: Boolean,
    ): PoolLoad {
        val cached = sums[service]
        if (cached != null && cached.index === index && now - cached.at < SUM_CACHE_DURATION) {
            return cached.load
        }
        return sum(service, index, now, countsUnreported)
            .also { sums[service] = CachedSum(it, index, now) }
    }

    private fun sum(
        service: ServiceName,
        index: TargetIndex,
        now: ComparableTimeMark,
        countsUnreported: Boolean,
    ): PoolLoad {
        var running = 0
        var targets = 0
        for (name in index.targetsIn[service].orEmpty()) {
            val report = reports[name]?.takeIf { it.countsUntil > now }
            if (report == null && !countsUnreported) continue
            if (report != null && !report.isReachable) continue
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
        val isReachable: Boolean,
        val countsUntil: ComparableTimeMark,
    )

    private class CachedSum(val load: PoolLoad, val index: TargetIndex, val at: ComparableTimeMark)

    private companion object {
        /** Uncached, 10,000 targets that renew every second need 100 million look-ups a second. */
        val SUM_CACHE_DURATION = 20.milliseconds
    }
}

/** Index of one fleet state: all targets by name, and the targets that take new work by service. */
internal class TargetIndex(val fleet: FleetState) {
    val targets: Map<TargetName, Target> = fleet.objects.targets.associateBy { it.name }
    val targetsIn: Map<ServiceName, List<TargetName>> = fleet.objects.targets
        .filter { fleet.stateOf(it) == OperationalState.IN }
        .groupBy({ it.service }, { it.name })
}
