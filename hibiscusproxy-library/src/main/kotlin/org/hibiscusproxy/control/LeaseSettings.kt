package org.hibiscusproxy.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of the lease protocol, identical on all controllers.
 *
 * @property duration time for which a holder may act on a lease, from the sending of its request
 * @property drift maximum relative difference in rate between any two clocks of the fleet
 * @property electionTimeout minimum time without a message from the leader before a voter starts
 *   an election
 * @property reportAge age up to which a target's load report counts even without a valid lease
 */
data class LeaseSettings(
    val duration: Duration = 3.seconds,
    val drift: Double = 0.01,
    val electionTimeout: Duration = 600.milliseconds,
    val reportAge: Duration = 2.seconds,
) {
    init {
        require(duration.isPositive()) { "duration must be positive: $duration" }
        require(drift in 0.0..MAXIMUM_DRIFT) { "drift must be in 0..$MAXIMUM_DRIFT: $drift" }
        require(electionTimeout.isPositive()) {
            "electionTimeout must be positive: $electionTimeout"
        }
    }

    /** Time for which a leader grants leases after its last contact with a majority. */
    val leaderLease: Duration get() = electionTimeout / (1 + drift)

    /** Time on the granter's clock after which a lease granted now has expired at its holder. */
    val granterDuration: Duration get() = duration * (1 + drift)

    /** Time after its election for which a leader must assume valid leases of an earlier leader. */
    val earlierLeases: Duration get() = (leaderLease + duration) * (1 + drift)

    private companion object {
        const val MAXIMUM_DRIFT = 0.5
    }
}
