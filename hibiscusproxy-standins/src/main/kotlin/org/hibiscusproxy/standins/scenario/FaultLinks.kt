package org.hibiscusproxy.standins.scenario

import kotlin.time.Duration
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

    /** Cuts all links between [processes] and others, except those of entries to sidecars. */
    fun partition(processes: Set<String>) {
        val vanish = DirectionFaults(cut = Cut.VANISH)
        proxies.filterKeys { it.from != null && (it.from in processes) != (it.to in processes) }
            .values.forEach { it.apply(ProxyFaults(forward = vanish, backward = vanish)) }
    }

    /** Makes bytes from and to [process] wait until [heal]; connections stay open. */
    fun stall(process: String) {
        val wait = DirectionFaults(cut = Cut.WAIT)
        linksOf(process).forEach { it.apply(ProxyFaults(forward = wait, backward = wait)) }
    }

    /** Holds each byte from and to [process]. */
    fun delay(process: String, delay: Duration, jitter: Duration) {
        val faults = DirectionFaults(
            delayMilliseconds = delay.inWholeMilliseconds,
            jitterMilliseconds = jitter.inWholeMilliseconds,
        )
        linksOf(process).forEach { it.apply(ProxyFaults(forward = faults, backward = faults)) }
    }

    /** Ends all faults of [process]'s links. */
    fun heal(process: String) = linksOf(process).forEach { it.apply(ProxyFaults()) }

    override fun close() = proxies.values.forEach { it.close() }

    private fun linksOf(process: String): List<FaultProxy> =
        proxies.filterKeys { it.from == process || it.to == process }.values.toList()
            .also { require(it.isNotEmpty()) { "no link of $process" } }
}
