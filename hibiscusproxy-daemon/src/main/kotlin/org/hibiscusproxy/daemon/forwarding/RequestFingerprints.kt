package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBufUtil
import kotlin.time.Duration
import org.hibiscusproxy.admission.Fingerprints
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Fingerprints of the request of [exchange], computed when they are first needed. The body must not
 * have been released by then.
 */
internal class RequestFingerprints(private val exchange: Exchange) {
    /** Fingerprint of the caller, method, path and body. */
    val request: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        Fingerprints.of(
            exchange.team?.name,
            exchange.head.method().name(),
            exchange.head.uri(),
            ByteBufUtil.getBytes(exchange.body),
        )
    }

    /** Fingerprints of the parts of the prompt that other requests may share. */
    val parts: Set<Fingerprint> by lazy(LazyThreadSafetyMode.NONE) {
        exchange.metadata.prompt?.sharedParts.orEmpty()
            .mapTo(LinkedHashSet()) { Fingerprints.ofPromptPart(it.identifier) }
    }

    /** All of them; that of the whole request is the last. */
    val all: Set<Fingerprint> by lazy(LazyThreadSafetyMode.NONE) { parts + request }

    /** Time for which the request is refused before it is sent to a target; null if it is not. */
    fun admit(): Duration? {
        val refusals = exchange.node.refusals
        return if (refusals.isEmpty) null else refusals.admit(all)
    }
}
