package org.hibiscusproxy.standins.scenario

import kotlin.time.Duration
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.deployment.AddressResolver
import org.hibiscusproxy.standins.faults.Cut
import org.hibiscusproxy.standins.faults.DirectionFaults
import org.hibiscusproxy.standins.faults.FaultProxy
import org.hibiscusproxy.standins.faults.ProxyFaults

/** Fault-injecting proxies, one for each link between two processes of a fleet. */
class FaultLinks :
    AddressResolver,
    AutoCloseable {
    private data class Link(val from: String?, val to: String)

    private val proxies = LinkedHashMap<Link, FaultProxy>()

    override fun address(from: String?, to: String, listener: NetworkAddress): NetworkAddress =
        proxies.getOrPut(Link(from, to)) {
            FaultProxy(NetworkAddress("127.0.0.1", 0), listener)
        }.address

    /** Drops all bytes from and to [process]; its connections stay open. */
    fun cut(process: String) {
        val discard = DirectionFaults(cut = Cut.VANISH)
        linksOf(process).forEach { it.apply(ProxyFaults(forward = discard, backward = discard)) }
    }

    /**
     * Drops all bytes between [processes] and the other processes. Links from entries to sidecars
     * are excluded, because all entries share one link to each sidecar.
     */
    fun partition(processes: Set<String>) {
        val discard = DirectionFaults(cut = Cut.VANISH)
        proxies.filterKeys { it.from != null && (it.from in processes) != (it.to in processes) }
            .values.forEach { it.apply(ProxyFaults(forward = discard, backward = discard)) }
    }

    /** Buffers all bytes from and to [process] until [heal]; connections stay open. */
    fun stall(process: String) {
        val buffer = DirectionFaults(cut = Cut.WAIT)
        linksOf(process).forEach { it.apply(ProxyFaults(forward = buffer, backward = buffer)) }
    }

    /** Delays each byte from and to [process] by [delay] and a random time up to [jitter]. */
    fun delay(process: String, delay: Duration, jitter: Duration) {
        val faults = DirectionFaults(
            delayMilliseconds = delay.inWholeMilliseconds,
            jitterMilliseconds = jitter.inWholeMilliseconds,
        )
        linksOf(process).forEach { it.apply(ProxyFaults(forward = faults, backward = faults)) }
    }

    /** Removes all faults from the links of [process]. */
    fun heal(process: String) = linksOf(process).forEach { it.apply(ProxyFaults()) }

    override fun close() = proxies.values.forEach { it.close() }

    private fun linksOf(process: String): List<FaultProxy> =
        proxies.filterKeys { it.from == process || it.to == process }.values.toList()
            .also { require(it.isNotEmpty()) { "$process has no link" } }
}
