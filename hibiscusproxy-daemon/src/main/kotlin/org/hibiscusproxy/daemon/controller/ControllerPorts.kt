package org.hibiscusproxy.daemon.controller

import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.NetworkAddress

/**
 * How a controller meets a deployment's platform. An implementation holds formats and calls; what
 * they lead to is decided by the controller.
 */
interface ControllerPorts {
    /** Reads targets from the list at [address]. */
    fun targetReader(address: NetworkAddress): TargetReader

    /** Serves calls about routing at [address] until it is closed. */
    fun serveOperators(address: NetworkAddress, control: RoutingControl): AutoCloseable

    /** Ports of a fleet without such a platform. */
    object None : ControllerPorts {
        override fun targetReader(address: NetworkAddress): TargetReader =
            error("no platform adapter reads targets from $address")

        override fun serveOperators(
            address: NetworkAddress,
            control: RoutingControl,
        ): AutoCloseable = error("no platform adapter serves operators at $address")
    }
}

/** Reads the platform's list of targets. */
interface TargetReader : AutoCloseable {
    /** The whole list, or why it could not be read. Blocks for a few seconds at most. */
    fun read(): TargetListing
}

/** Outcome of one reading of the platform's list. */
sealed class TargetListing {
    /** The list was read; [unreadable] entries of it were left out. */
    data class Listed(val targets: List<DiscoveredTarget>, val unreadable: Int) : TargetListing()

    /** The list could not be read. */
    data class Failed(val cause: String) : TargetListing()
}
