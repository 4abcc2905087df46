package org.hibiscusproxy.standins.deployment

import org.hibiscusproxy.model.NetworkAddress

/** Resolves the address at which one process reaches another, which may be that of a proxy. */
fun interface AddressResolver {
    /**
     * Returns the address that [from] uses to reach [to], which listens at [listener]. A null
     * [from] stands for all entries, which share one address of each sidecar.
     */
    fun address(from: String?, to: String, listener: NetworkAddress): NetworkAddress

    companion object {
        /** Resolves to the listener itself. */
        val DIRECT: AddressResolver = AddressResolver { _, _, listener -> listener }
    }
}
