package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.placement.PrefixKey
import org.hibiscusproxy.placement.RoutedRequest
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.RequestIdentifier

/**
 * A validated request of a caller.
 *
 * @property path path and query at the target
 * @property headers end-to-end headers for the target
 * @property claim key under which the call is claimed; null for repeatable calls
 * @property mayBufferAnswer whether the answer may be buffered until it is complete, so that the
 *   request can be retried elsewhere if its target is lost
 */
internal class CallerRequest(
    val identifier: RequestIdentifier,
    val routed: RoutedRequest,
    val key: PrefixKey,
    val fingerprint: Fingerprint,
    val method: String,
    val path: String,
    val headers: List<Header>,
    val body: Payload,
    val claim: ClaimKey?,
    val mayBufferAnswer: Boolean,
    service: Service,
) {
    /** Whether the request is a chat, whose prefix may be cached at a target. */
    val isChat: Boolean = service.kind is ServiceKind.Chat

    private val deadline =
        TimeSource.Monotonic.markNow() + service.deadlineMilliseconds.milliseconds

    /** Whether the request may be retried after an unknown outcome. */
    val repeatable: Boolean get() = claim == null

    /** Time until the deadline; negative after it has passed. */
    val remaining: Duration get() = -deadline.elapsedNow()
}

/** An HTTP request before validation. */
internal class RawRequest(
    val identifier: RequestIdentifier,
    val method: String,
    val path: String,
    val query: String?,
    val headers: List<Header>,
    val body: ByteArray,
) {
    /** First value of the header [name]. */
    fun header(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}
