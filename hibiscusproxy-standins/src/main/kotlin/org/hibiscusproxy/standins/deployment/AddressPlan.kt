package org.hibiscusproxy.standins.deployment

import org.hibiscusproxy.model.NetworkAddress

/** Decides at which address one process reaches another, so that a proxy can stand between. */
fun interface AddressPlan {
    /**
     * Address that [from] uses to reach [to], which listens at [listener]. A null [from] stands
     * for all entries, which share one address of each sidecar.
     */
    fun address(from: String?, to: String, listener: NetworkAddress): NetworkAddress

    companion object {
        /** Every process reaches every other one directly. */
        val DIRECT: AddressPlan = AddressPlan { _, _, listener -> listener }
    }
}
