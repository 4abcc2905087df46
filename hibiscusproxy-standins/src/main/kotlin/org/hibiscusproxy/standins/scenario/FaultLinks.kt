package org.hibiscusproxy.standins.scenario

import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.deployment.AddressPlan
import org.hibiscusproxy.standins.faults.Cut
import org.hibiscusproxy.standins.faults.DirectionFaults
import org.hibiscusproxy.standins.faults.FaultProxy
import org.hibiscusproxy.standins.faults.ProxyFaults

/** A fault-injecting proxy on every link between two processes of a fleet. */
class FaultLinks :
    AddressPlan,
    AutoCloseable {
    private data class Link(val from: String?, val to: String)

    private val proxies = LinkedHashMap<Link, FaultProxy>()

    override fun address(from: String?, to: String, listener: NetworkAddress): NetworkAddress =
        proxies.getOrPut(Link(from, to)) {
            FaultProxy(NetworkAddress("127.0.0.1", 0), listener)
        }.address

    /** Cuts [process] off silently: its connections stay open and bytes vanish. */
    fun cut(process: String) {
        val vanish = DirectionFaults(cut = Cut.VANISH)
        linksOf(process).forEach { it.apply(ProxyFaults(forward = vanish, backward = vanish)) }
    }

    /** Ends the cut of [process]. */
    fun heal(process: String) = linksOf(process).forEach { it.apply(ProxyFaults()) }

    override fun close() = proxies.values.forEach { it.close() }

    private fun linksOf(process: String): List<FaultProxy> =
        proxies.filterKeys { it.from == process || it.to == process }.values.toList()
}
