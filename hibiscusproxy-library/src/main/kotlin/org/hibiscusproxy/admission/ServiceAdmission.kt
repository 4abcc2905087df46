package org.hibiscusproxy.admission

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import org.hibiscusproxy.forwarding.DemandMeter
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.ClassDemand
import org.hibiscusproxy.protocol.ServicePressure

/**
 * Demand for one service by rank and team, and the shares of it that are admitted while the service
 * is short of room. See [PriorityAdmission].
 */
internal class ServiceAdmission(
    private val service: ServiceName,
    private val random: Random,
    private val onChange: (ShortageChange) -> Unit,
    now: ComparableTimeMark,
) {
    val throughput = ServiceThroughput(now)
    private val meters = HashMap<RequestClass, DemandMeter>()

    /** Fraction of a request that each class has saved up; it is admitted at 1. */
    private val credits = HashMap<RequestClass, Double>()
    private var shares: Map<RequestClass, Double> = emptyMap()
    private var occupancy = 0.0
    private var running = 0.0
    private var occupancyAt = now
    private var busyAt: ComparableTimeMark? = null
    private var busySince = now
    private var others: ServicePressure? = null
    private var othersAt = now
    private var forwarders = 1

    /** Starts low, so that nothing is queued for objectives that are not known. */
    private var meanObjective = Duration.ZERO
    private var dividedAt = now - DIVISION_INTERVAL
    private var shortSince: ComparableTimeMark? = null
    private var refused = 0
    private var correction = INITIAL_CORRECTION

    /** Whether requests are refused by their rank. */
    val isShort: Boolean get() = shortSince != null

    /** Replaces the demand at the other [forwarders] - 1 forwarders; null if they report none. */
    fun updateOthers(demand: ServicePressure?, forwarders: Int, now: ComparableTimeMark) {
        this.forwarders = maxOf(forwarders, 1)
        if (demand == null) return
        others = demand
        othersAt = now
    }

    /** Counts a request. */
    fun record(key: RequestClass, now: ComparableTimeMark) {
        if (key !in meters && meters.size >= MAXIMUM_CLASSES) removeIdle(now)
        meters.getOrPut(key) { DemandMeter(now, DEMAND_TIME) }.record(now)
    }

    private fun removeIdle(now: ComparableTimeMark) {
        meters.values.removeIf { it.perSecond(now) < IDLE_PER_SECOND }
        credits.keys.retainAll(meters.keys)
    }

    /** Whether a request is admitted to [room]. Each call is for one request. */
    fun admits(
        key: RequestClass,
        room: ServiceRoom,
        objective: Duration,
        now: ComparableTimeMark,
    ): Boolean {
        meanObjective += (objective - meanObjective) * OBJECTIVE_SMOOTHING
        divideIfDue(room, now)
        if (shortSince == null || room.running < room.slots * ADMITTING_OCCUPANCY) return true
        val share = shares[key] ?: return true
        // Starts at random, so that the forwarders do not all admit their first request or none.
        val credit = (credits[key] ?: random.nextDouble()) + share
        val isAdmitted = credit >= 1
        credits[key] = if (isAdmitted) credit - 1 else credit
        if (!isAdmitted) refused += 1
        return isAdmitted
    }

    /** Time after which a refused request should come back: sooner if it is more urgent. */
    fun retryAfter(key: RequestClass): Duration {
        val moreUrgent = shares.keys.mapTo(HashSet()) { it.rank }.count { it < key.rank }
        val share = (shares[key] ?: 1.0).coerceAtLeast(MINIMUM_RETRY_SHARE)
        return RETRY_AFTER * (moreUrgent + 1) / share
    }

    /** Records what is in progress in [room], also when the shares are not computed. */
    fun observe(room: ServiceRoom, now: ComparableTimeMark) {
        throughput.observe(room.busyTargets, now)
        val current = maxOf(
            room.running.toDouble() / room.slots.coerceAtLeast(1),
            room.prefillWait / BUSY_PREFILL_WAIT * BUSY_OCCUPANCY,
        )
        val elapsed = now - occupancyAt
        occupancy += (current - occupancy) * (1 - exp(-(elapsed / OCCUPANCY_TIME)))
        running += (room.running - running) * (1 - exp(-(elapsed / RUNNING_TIME)))
        occupancyAt = now
        if (occupancy < BUSY_OCCUPANCY) return
        if (busyAt.let { it == null || now - it > BUSY_TIME }) busySince = now
        busyAt = now
    }

    private fun isBusy(now: ComparableTimeMark) = busyAt.let { it != null && now - it <= BUSY_TIME }

    private fun othersAsKnown(now: ComparableTimeMark): ServicePressure? =
        others?.takeIf { now - othersAt <= OTHERS_LIFETIME }

    /** Own demand, to be reported; null if the service has room and no other one sees it busy. */
    fun report(now: ComparableTimeMark): ServicePressure? {
        val isBusy = isBusy(now)
        if (!isBusy && othersAsKnown(now)?.isBusy != true) return null
        val answers = throughput.answersPerSecond(now) * SECONDS_PER_MINUTE
        val demand = meters.map { (key, meter) ->
            ClassDemand(key.rank, key.team, meter.perMinute(now))
        }
            .filter { it.perMinute > 0 }
            .sortedByDescending { it.perMinute }
        return ServicePressure(
            service,
            isBusy,
            answers.roundToInt(),
            (answers * throughput.prefillSeconds(now) * MILLISECONDS_PER_SECOND).roundToLong(),
            demand.take(MAXIMUM_REPORTED_CLASSES),
        )
    }

    private fun DemandMeter.perMinute(now: ComparableTimeMark): Int =
        (perSecond(now) * SECONDS_PER_MINUTE).roundToInt()

    private fun divideIfDue(room: ServiceRoom, now: ComparableTimeMark) {
        val elapsed = now - dividedAt
        if (elapsed < DIVISION_INTERVAL) return
        dividedAt = now
        if (shortSince == null && !isBusy(now)) return
        val demand = fleetDemand(now)
        val total = demand.values.sum()
        val targetSeconds = fleetTargetSeconds(now)
        if (targetSeconds <= 0) return
        val capacity = room.capacity(targetSeconds)
        updateShortage(total, capacity, now)
        if (shortSince == null) return
        val work = targetSeconds * room.slots / room.targets.coerceAtLeast(1)
        val multiple = meanObjective.toDouble(DurationUnit.SECONDS) * WAITING_SHARE / work
        val places = room.slots * multiple.coerceIn(1.0, MAXIMUM_MULTIPLE)
        val free = (places - running) / FILL_TIME.toDouble(DurationUnit.SECONDS)
        correct(running / places, elapsed)
        val usable = capacity * correction + free
        shares = WaterFilling.shares(maxOf(usable, capacity * MINIMUM_CAPACITY), demand)
    }

    /** Corrects errors of the capacity by the share of the places in use. */
    private fun correct(use: Double, elapsed: Duration) {
        val change = CORRECTION_PER_SECOND *
            minOf(elapsed, MAXIMUM_CORRECTION_TIME).toDouble(DurationUnit.SECONDS)
        when {
            use < 1 - TOLERATED_USE -> correction += change
            use > 1 + TOLERATED_USE -> correction -= change
        }
        correction = correction.coerceIn(LEAST_CORRECTION, LARGEST_CORRECTION)
    }

    private fun updateShortage(total: Double, capacity: Double, now: ComparableTimeMark) {
        val since = shortSince
        if (since == null) {
            if (total <= capacity * BEGIN_DEMAND || occupancy < BUSY_OCCUPANCY) return
            shortSince = now
            correction = INITIAL_CORRECTION
            refused = 0
            onChange(ShortageChange.Began(service, total, capacity))
        } else if (total < capacity * END_DEMAND || occupancy < END_OCCUPANCY) {
            shortSince = null
            shares = emptyMap()
            credits.clear()
            onChange(ShortageChange.Ended(service, total, capacity, now - since, refused))
        }
    }

    /** Requests a second by class from all forwarders. */
    private fun fleetDemand(now: ComparableTimeMark): Map<RequestClass, Double> {
        val known = othersAsKnown(now)
        val factor = ownFactor(now)
        val demand = HashMap<RequestClass, Double>()
        meters.forEach { (key, meter) -> demand[key] = meter.perSecond(now) * factor }
        known?.demand?.forEach {
            demand.merge(it.requestClass, it.perMinute / SECONDS_PER_MINUTE, Double::plus)
        }
        return demand.filterValues { it > 0 }
    }

    /** Time of a target's whole capacity that an answer takes, in seconds; 0 if unknown. */
    private fun fleetTargetSeconds(now: ComparableTimeMark): Double {
        val known = othersAsKnown(now)
        val factor = ownFactor(now)
        val own = throughput.answersPerSecond(now) * factor
        val others = (known?.answersPerMinute ?: 0) / SECONDS_PER_MINUTE
        val answers = own + others
        if (answers < MINIMUM_ANSWERS_PER_SECOND) return 0.0
        val othersPrefill =
            (known?.prefillMilliseconds ?: 0) / SECONDS_PER_MINUTE / MILLISECONDS_PER_SECOND
        val prefill = (own * throughput.prefillSeconds(now) + othersPrefill) / answers
        return maxOf(throughput.busyTargets(now) / answers, prefill)
    }

    /**
     * How often the own figures are counted. The others report when they see that the targets are
     * busy; until then they are taken to have as many requests as this one.
     */
    private fun ownFactor(now: ComparableTimeMark): Int =
        if (othersAsKnown(now) == null && now - busySince < OTHERS_LIFETIME) forwarders else 1

    private companion object {
        /** Refused requests that come back change the demand within about a second. */
        val DEMAND_TIME = 500.milliseconds

        /** Longer than the chance peaks of a few slots, which cause no reports then. */
        val OCCUPANCY_TIME = 1.seconds

        /** The interval of the reports. */
        val RUNNING_TIME = 250.milliseconds

        /** Share of the slots in use from which on a service may be short. */
        const val BUSY_OCCUPANCY = 0.75

        /** Share of the slots in use below which a service is no longer short. */
        const val END_OCCUPANCY = 0.55

        /**
         * Share of the slots in use below which every request is admitted. None may be refused while
         * less than half are in use; the counts of others are old, hence the margin.
         */
        const val ADMITTING_OCCUPANCY = 0.7

        /** Delay of first events that counts as busy; objectives are 300 ms and more. */
        val BUSY_PREFILL_WAIT = 200.milliseconds

        /** Keeps the reports going while the occupancy varies. */
        val BUSY_TIME = 2.seconds

        /** Reports of others are up to 500 ms old; a change of the leader delays some. */
        val OTHERS_LIFETIME = 1.seconds

        /** Share of the capacity above which the demand begins a shortage; it varies by 5%. */
        const val BEGIN_DEMAND = 1.05

        /** Share of the capacity below which the demand ends a shortage. */
        const val END_DEMAND = 0.9

        /** Share of the estimated capacity that is given out first. */
        const val INITIAL_CORRECTION = 0.97

        /**
         * The time that requests spend on the network makes the estimate too low, and targets that
         * are unevenly loaded make it too high.
         */
        const val CORRECTION_PER_SECOND = 0.05
        const val LEAST_CORRECTION = 0.85
        const val LARGEST_CORRECTION = 1.5

        /** Fewer answers of all forwarders do not show the capacity. */
        const val MINIMUM_ANSWERS_PER_SECOND = 1.5

        /** Deviation from the places at which the capacity is not corrected. */
        const val TOLERATED_USE = 0.15
        val MAXIMUM_CORRECTION_TIME = 100.milliseconds

        /** Share of the objective that requests may take at targets that are evenly loaded. */
        const val WAITING_SHARE = 0.33

        /** Bounds the requests in progress, as a multiple of the slots. */
        const val MAXIMUM_MULTIPLE = 2.0

        /** Averages over about twenty requests. */
        const val OBJECTIVE_SMOOTHING = 0.05

        /**
         * Time in which free slots are filled and waiting requests are worked off. Counts are
         * up to 500 ms old, so a shorter time would make the use of the slots oscillate.
         */
        val FILL_TIME = 500.milliseconds

        /** Share of the capacity that is given out even if many requests wait. */
        const val MINIMUM_CAPACITY = 0.4

        /** Dividing costs more than a request; the demand changes less within this time. */
        val DIVISION_INTERVAL = 20.milliseconds

        /** Time to come back for the most urgent rank if nearly all are admitted. */
        val RETRY_AFTER = 150.milliseconds
        const val MINIMUM_RETRY_SHARE = 0.25

        /** Classes that a report names, the largest first; one takes about 20 bytes. */
        const val MAXIMUM_REPORTED_CLASSES = 24

        /** Idle classes above this number are forgotten. */
        const val MAXIMUM_CLASSES = 256
        const val IDLE_PER_SECOND = 0.01
        const val SECONDS_PER_MINUTE = 60.0
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
