package org.hibiscusproxy.forwarding

import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.forwarding.RoutingFixture.orders
import org.hibiscusproxy.model.SoftwareVersion
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.RolloutPhase

/** Rollouts of the service "orders" from version v1, and targets of both versions. */
internal object RolloutFixture {
    fun rollout(
        phase: RolloutPhase = RolloutPhase.TRIAL,
        version: String = "v2",
        number: Long = 1,
    ) = Rollout(orders, number, SoftwareVersion(version), FleetInstant(0), 12_000, phase)

    fun target(number: Int, version: String, startedAt: Long = 1) =
        RoutingFixture.target(number, orders, slots = 1_000, startedAt = startedAt)
            .copy(version = SoftwareVersion(version))
}
