package org.hibiscusproxy.daemon.transport

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.PeerMessage

/** Why a frame or a handshake was refused. Each refusal ends the connection it came on. */
enum class FrameRefusal {
    /** The other side does not hold the fleet key or speaks another protocol. */
    HANDSHAKE,

    /** The handshake was not finished in time. */
    HANDSHAKE_TIMEOUT,

    /** The tag does not match: the frame is damaged, replayed, lost or out of order. */
    BAD_TAG,

    /** The announced length is over the limit. */
    OVERSIZED,

    /** The content is no known message. */
    UNDECODABLE,

    /** No frame arrived for longer than the silence limit. */
    SILENCE,
}

/** Counts bytes by class of message, and refused frames. Safe for concurrent use. */
internal class TransportCounters(registry: MeterRegistry) {
    private val sentData = bytes(registry, "sent", "data")
    private val sentControl = bytes(registry, "sent", "control")
    private val receivedData = bytes(registry, "received", "data")
    private val receivedControl = bytes(registry, "received", "control")
    private val refusals = FrameRefusal.entries.associateWith { refusal ->
        Counter.builder("hibiscus.transport.refused")
            .description("Frames and handshakes refused")
            .tag("reason", refusal.name.lowercase().replace('_', '-'))
            .register(registry)
    }

    fun sent(isData: Boolean, bytes: Int) = counter(isData, sentData, sentControl, bytes)

    fun received(message: PeerMessage?, bytes: Int) =
        counter(message is DataMessage, receivedData, receivedControl, bytes)

    fun refused(refusal: FrameRefusal) = refusals.getValue(refusal).increment()

    private fun counter(isData: Boolean, data: Counter, control: Counter, bytes: Int) =
        (if (isData) data else control).increment(bytes.toDouble())

    private fun bytes(registry: MeterRegistry, direction: String, kind: String): Counter =
        Counter.builder("hibiscus.transport.bytes")
            .description("Bytes of frames between processes, with framing")
            .tag("direction", direction)
            .tag("class", kind)
            .register(registry)
}
