package org.hibiscusproxy.daemon.transport

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.PeerMessage

/** Reason why a frame or a handshake was refused. Each refusal closes the connection. */
enum class FrameRefusal {
    /** The peer does not hold the fleet key or uses another protocol. */
    HANDSHAKE,

    /** The handshake did not complete in time. */
    HANDSHAKE_TIMEOUT,

    /** The connection was closed for a newer one before it had authenticated. */
    TOO_MANY_HANDSHAKES,

    /** The tag does not match: frames were corrupted, replayed, lost or reordered. */
    BAD_TAG,

    /** The announced length exceeds the limit. */
    OVERSIZED,

    /** The payload is not a known message. */
    UNDECODABLE,

    /** No frame arrived for longer than the silence limit. */
    SILENCE,
}

/** Counts bytes by message class, and refusals by reason. Safe for concurrent use. */
internal class TransportCounters(registry: MeterRegistry) {
    private val sentData = byteCounter(registry, "sent", "data")
    private val sentControl = byteCounter(registry, "sent", "control")
    private val receivedData = byteCounter(registry, "received", "data")
    private val receivedControl = byteCounter(registry, "received", "control")
    private val refusals = FrameRefusal.entries.associateWith { refusal ->
        Counter.builder("hibiscus.transport.refused")
            .description("Frames and handshakes refused")
            .tag("reason", refusal.name.lowercase().replace('_', '-'))
            .register(registry)
    }

    fun sent(isData: Boolean, bytes: Int) = increment(isData, sentData, sentControl, bytes)

    fun received(message: PeerMessage?, bytes: Int) =
        increment(message is DataMessage, receivedData, receivedControl, bytes)

    fun refused(refusal: FrameRefusal) = refusals.getValue(refusal).increment()

    private fun increment(isData: Boolean, data: Counter, control: Counter, bytes: Int) =
        (if (isData) data else control).increment(bytes.toDouble())

    private fun byteCounter(registry: MeterRegistry, direction: String, kind: String): Counter =
        Counter.builder("hibiscus.transport.bytes")
            .description("Bytes of frames between processes, with framing")
            .tag("direction", direction)
            .tag("class", kind)
            .register(registry)
}
