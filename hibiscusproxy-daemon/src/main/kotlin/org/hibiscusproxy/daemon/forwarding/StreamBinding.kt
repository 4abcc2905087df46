package org.hibiscusproxy.daemon.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.admission.Fingerprints
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.forwarding.VersionChoice
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Binds the stream of [exchange] to the software version that began it. What two versions write
 * does not fit together, so a stream goes on at its own version or not at all, within one answer and
 * over its caller's attempts. Until the caller has an event, any version may begin it.
 */
internal class StreamBinding(
    private val exchange: Exchange,
    private val route: ForwardingRoute,
    private val service: ServiceName,
) {
    private val node = exchange.node
    private val metadata = exchange.metadata
    private var origin: ServiceVersion? = null
    private var query: Long? = null

    /** Whether the caller takes up a stream that an earlier attempt began. */
    val isTakeUp: Boolean get() = metadata.lastEventIdentifier != null

    /** Versions whose targets may get the request now. */
    val versions: VersionChoice
        get() = origin?.let { VersionChoice.Only(it.version) }
            ?: VersionChoice.Registered(node.origins.registered(service))

    /** Finds the version that began the stream which the caller takes up. */
    fun findOrigin(onResult: (StreamOrigin) -> Unit) {
        val stream = metadata.resumedIdentifier?.let(::fingerprint)
        val own = stream?.let(node.origins::find)
        if (own != null) return bind(StreamOrigin.Known(own), "this-entry", onResult)
        val limit = minOf(exchange.remaining * WAIT_FRACTION, MAXIMUM_WAIT)
        query = node.lookup.find(stream, service, limit) {
            query = null
            bind(it, "controllers", onResult)
        }
    }

    private fun bind(found: StreamOrigin, source: String, onResult: (StreamOrigin) -> Unit) {
        if (found is StreamOrigin.Known) origin = found.version
        val resumed = metadata.resumedIdentifier
        node.log.streamTakenUp(metadata.requestIdentifier, resumed, found, source)
        onResult(found)
    }

    /** Records the version of [target] once the caller gets the first event from it. */
    fun onEventsForwarded(target: DiscoveredTarget) {
        if (origin != null) return
        val began = ServiceVersion(target.service, target.version)
        origin = began
        val identifier = metadata.requestIdentifier ?: return
        node.recordStream(fingerprint(identifier), began, lifetime)
    }

    /** Drops a query without an answer, because the exchange has ended. */
    fun close() {
        query?.let(node.lookup::cancel)
    }

    /** The caller takes up its stream only as long as it waits for the answer. */
    private val lifetime: Duration
        get() = metadata.callerTimeout ?: route.timeoutMilliseconds.milliseconds

    private fun fingerprint(identifier: String): Fingerprint =
        Fingerprints.ofStream(exchange.team?.name, identifier)

    private companion object {
        /** Leaves half of the time for the rest of the stream. */
        const val WAIT_FRACTION = 0.5

        /** Controllers that start at the same time have elected a leader by then. */
        val MAXIMUM_WAIT = 2_500.milliseconds
    }
}
