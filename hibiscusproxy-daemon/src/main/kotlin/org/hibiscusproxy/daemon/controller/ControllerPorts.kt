package org.hibiscusproxy.daemon.controller

import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.NetworkAddress

/**
 * Interface between a controller and a deployment's platform. Implementations translate formats and
 * calls; the controller decides what to do with them.
 */
interface ControllerPorts {
    /** Returns a reader of the target list at [address]. */
    fun targetReader(address: NetworkAddress): TargetReader

    /** Serves routing calls at [address] until the result is closed. */
    fun serveOperators(address: NetworkAddress, control: RoutingControl): AutoCloseable

    /** Ports of a fleet without a platform. */
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
    /** Returns the whole list, or why it could not be read. Blocks for at most a few seconds. */
    fun read(): TargetListing
}

/** Result of reading the platform's list of targets. */
sealed class TargetListing {
    /** The list was read, except for [unreadable] malformed entries. */
    data class Listed(val targets: List<DiscoveredTarget>, val unreadable: Int) : TargetListing()

    /** The list could not be read. */
    data class Failed(val cause: String) : TargetListing()
}
