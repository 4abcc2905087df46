package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.rollout.ExposureLimiter
import org.hibiscusproxy.rollout.ExposureLimits
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase

/**
 * Restricts the targets of requests by the rollouts of their services. A stream that a version
 * began gets targets of that version or none. Not thread-safe.
 *
 * @param onRequest called for each request that the version of a rollout gets ([ExposureDecision.SENT])
 * or does not get because of its limits ([ExposureDecision.HELD_BACK])
 */
class RolloutTargets(
    private val limits: ExposureLimits,
    private val time: TimeSource.WithComparableMarks,
    private val random: Random,
    private val onRequest: (Rollout, ExposureDecision) -> Unit = { _, _ -> },
) {
    private val services = HashMap<ServiceName, ServiceRollout>()
    private var listed: Map<ServiceName, List<DiscoveredTarget>> = emptyMap()
    private var drained: Set<DataCenterName> = emptySet()
    private var hasRouting = false
    private var contactAt: ComparableTimeMark? = null

    /** Whether no controller has been heard for so long that a bad version may be unknown here. */
    val isContactLost: Boolean get() = contactAt.let {
        it == null || it.elapsedNow() > CONTACT_LIMIT
    }

    /** Whether a rollout is running. */
    val isRunning: Boolean get() = services.values.any { it.rollout.phase.isRunning }

    /** Records a message of a controller. */
    fun recordContact() {
        contactAt = time.markNow()
    }

    /** Replaces the rollouts and the data centres that receive no new requests. */
    internal fun updateRollouts(rollouts: List<Rollout>, drainedDataCenters: Set<DataCenterName>) {
        recordContact()
        drained = drainedDataCenters
        val orders = rollouts.groupBy { it.service }
        services.keys.retainAll(orders.keys)
        for ((service, known) in orders) update(service, known)
        hasRouting = true
    }

    /** Applies the [orders] of one service, of which the latest one counts. */
    private fun update(service: ServiceName, orders: List<Rollout>) {
        val latest = orders.maxBy { it.number }
        val before = services[service]
        if (before != null && before.rollout.number == latest.number) {
            before.updateTargets(service)
            before.advance(latest)
        } else {
            val earlier = orders.filter { it.phase == RolloutPhase.ROLLED_BACK && it !== latest }
                .map { it.version } - latest.version
            val state = ServiceRollout(
                latest,
                ExposureLimiter(limits, random.nextDouble()),
                before?.rolledBackFor(latest.version).orEmpty() + earlier,
                before?.stopped().orEmpty(),
            )
            // A process that has just started cannot tell replaced targets from later ones.
            if (latest.phase == RolloutPhase.COMPLETED && hasRouting) {
                state.advance(latest.copy(phase = RolloutPhase.MOVING))
                state.updateTargets(service)
                state.advance(latest)
            }
            services[service] = state
        }
        services[service]?.updateTargets(service)
    }

    private fun ServiceRollout.updateTargets(service: ServiceName) = updateTargets(
        listed[service].orEmpty(),
        drained,
        limits.share * ExposureLimiter.TRIAL_FRACTION,
    )

    /** Replaces the listed targets. */
    internal fun updateTargets(targets: List<DiscoveredTarget>) {
        listed = targets.groupBy { it.service }
        services.forEach { (service, state) -> state.updateTargets(service) }
    }

    /** Whether a rollout excludes [target] from all requests. */
    internal fun isExcluded(target: DiscoveredTarget): Boolean =
        services[target.service]?.isExcluded(target) == true

    /**
     * Orders the [candidates] for [request].
     *
     * @param pool all targets of the service outside drained data centres
     * @param forwarders number of forwarders
     */
    internal fun order(
        request: PlacementRequest,
        candidates: List<TargetState>,
        pool: List<TargetState>,
        forwarders: Int,
        now: ComparableTimeMark,
    ): RolloutOrder {
        val versions = request.versions
        val state = services[request.service] ?: return RolloutOrder(versions.select(candidates))
        val permitted = candidates.filter { !state.isExcluded(it.listed) }
        val phase = state.rollout.phase
        val matching = versions.select(permitted).ifEmpty {
            state.unregistered(versions, permitted)
        }
        if (!phase.isRunning) return RolloutOrder(matching)
        val isBound = versions is VersionChoice.Only
        val (exposed, others) = matching.partition { state.isExposed(it.listed) }
        val othersTake = pool.any { !state.isExposed(it.listed) && it.takes(phase, now) }
        val isPermitted = !(isContactLost && othersTake) &&
            state.limiter.permits(phase, request.isRetry, isBound, forwarders)
        val canaryLoad =
            pool.sumOf { it.running } * CANARY_LOAD_MULTIPLE / pool.size.coerceAtLeast(1)
        val canaries = exposed.filter {
            it.listed.name in state.canaries && it.running < canaryLoad + CANARY_OFFSET_REQUESTS
        }
        val groups = when {
            !isPermitted -> listOf(others)
            phase != RolloutPhase.TRIAL -> listOf(exposed, others)
            isBound -> listOf(canaries, exposed, others)
            else -> listOf(canaries, others)
        }
        val isHeldBack = !isPermitted && state.hasTargets &&
            (versions !is VersionChoice.Only || versions.version == state.rollout.version)
        return RolloutOrder(groups.withoutEmpty(), isHeldBack)
    }

    /**
     * Targets of the new version for streams, if the controllers have not registered it and no
     * registered version has any. Only once the other versions go: before, such a stream might be
     * continued at the registered one.
     */
    private fun ServiceRollout.unregistered(
        versions: VersionChoice,
        permitted: List<TargetState>,
    ): List<TargetState> = when (rollout.phase) {
        RolloutPhase.MOVING, RolloutPhase.COMPLETED -> {
            val isStream = versions is VersionChoice.Registered
            permitted.filter { isStream && isExposed(it.listed) }
        }

        RolloutPhase.TRIAL, RolloutPhase.EXPANDING, RolloutPhase.ROLLED_BACK -> emptyList()
    }

    /**
     * Whether the target takes requests. Once all traffic moves, old targets may stop at any
     * moment, and one that failed is taken for stopped until it answers.
     */
    private fun TargetState.takes(phase: RolloutPhase, now: ComparableTimeMark): Boolean =
        acceptance(now) is Acceptance.Open &&
            (phase != RolloutPhase.MOVING || health.suspensionEnd() == null)

    /** Records where [request] goes, which [order] has ordered. */
    internal fun record(request: PlacementRequest, order: RolloutOrder, choice: PlacementChoice) {
        val state = services[request.service] ?: return
        val rollout = state.rollout
        if (!rollout.phase.isRunning) return
        val isExposed = choice is PlacementChoice.Chosen && state.isExposed(choice.target)
        if (choice is PlacementChoice.Chosen) {
            state.limiter.record(rollout.phase, request.isRetry, isExposed)
        }
        if (isExposed) onRequest(rollout, ExposureDecision.SENT)
        if (order.isHeldBack) onRequest(rollout, ExposureDecision.HELD_BACK)
    }

    private companion object {
        /** A version turns out bad and is rolled back within a few seconds of such a message. */
        val CONTACT_LIMIT = 2.seconds

        /** Keeps the few targets of a trial below the load bound of an engine. */
        const val CANARY_LOAD_MULTIPLE = 1.5
        const val CANARY_OFFSET_REQUESTS = 1.0
    }
}
