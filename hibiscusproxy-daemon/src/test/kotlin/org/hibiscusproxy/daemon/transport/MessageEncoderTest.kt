package org.hibiscusproxy.daemon.transport

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotSame
import kotlin.test.assertSame
import kotlin.test.assertTrue
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.ServiceShare
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.protocol.ConsensusEnvelope
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.junit.jupiter.api.Nested

/** Guards against routing whose cost to send grows with its size times the number of peers. */
class MessageEncoderTest {
    private val encoder = MessageEncoder()
    private val update = RoutingUpdate(
        1,
        RoutingConfiguration(
            1,
            List(1_800) {
                ForwardingRoute(
                    "route-$it",
                    "caller.example",
                    "/path-$it/",
                    RequestKind.SAFE,
                    timeoutMilliseconds = 1_000,
                    objectiveMilliseconds = 200,
                    shares = listOf(ServiceShare(ServiceName("service"), 1)),
                )
            },
        ),
        emptySet(),
    )

    @Nested
    inner class SharedMessages {
        @Test
        fun `are encoded once for all connections`() {
            assertSame(encoder.encode(update), encoder.encode(update))
        }

        @Test
        fun `are encoded again when they change`() {
            val next = update.copy(revision = 2)
            assertNotSame(encoder.encode(update), encoder.encode(next))
            assertEquals<PeerMessage>(next, MessageCodec.decode(encoder.encode(next)))
        }
    }

    @Nested
    inner class LargeMessages {
        @Test
        fun `take a small part of their size on the link`() {
            val plain = MessageCodec.encodeToByteArray(PeerMessage.serializer(), update)
            val sent = encoder.encode(update)
            assertTrue(sent.size < plain.size / 4, "${sent.size} of ${plain.size} bytes")
            assertEquals<PeerMessage>(update, MessageCodec.decode(sent))
        }

        @Test
        fun `of the log are compressed, too`() {
            val entry = ConsensusEnvelope(Payload(ByteArray(100_000) { (it % 50).toByte() }))
            val sent = encoder.encode(entry)
            assertTrue(sent.size < 10_000, "${sent.size} bytes")
            assertEquals<PeerMessage>(entry, MessageCodec.decode(sent))
        }

        @Test
        fun `that are damaged or truncated are refused`() {
            val sent = encoder.encode(update)
            assertFailsWith<IllegalArgumentException> {
                MessageCodec.decode(sent.copyOf(sent.size / 2))
            }
            val damaged = sent.clone().also { it[1] = 0 }
            assertFailsWith<IllegalArgumentException> { MessageCodec.decode(damaged) }
        }

        @Test
        fun `that expand beyond the limit are refused`() {
            val largest = ByteArray(MessageCompression.MAXIMUM_BYTES)
            assertEquals(largest.size, MessageCompression.expand(compress(largest)).size)
            assertFailsWith<IllegalArgumentException> {
                MessageCompression.expand(compress(largest + 1))
            }
        }

        /** Compresses any number of bytes, unlike the encoder. */
        private fun compress(content: ByteArray): ByteArray {
            val output = ByteArrayOutputStream()
            output.write(0)
            DeflaterOutputStream(output).use { it.write(content) }
            return output.toByteArray()
        }
    }

    @Test
    fun `small messages are sent as they are`() {
        val request = RoutingRequest(7)
        val plain = MessageCodec.encodeToByteArray(PeerMessage.serializer(), request)
        assertTrue(plain.contentEquals(encoder.encode(request)))
    }
}
