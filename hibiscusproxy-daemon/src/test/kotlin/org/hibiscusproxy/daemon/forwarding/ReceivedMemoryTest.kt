package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpServerCodec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against incomplete heads that count as nothing, and idle connections that count. */
class ReceivedMemoryTest {
    private val received = ReceivedMemory {}
    private val channel = EmbeddedChannel(
        received,
        HttpServerCodec(received.observe(HttpDecoderConfig().setMaxHeaderSize(16_384))),
        object : SimpleChannelInboundHandler<HttpObject>() {
            override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) =
                received.recordDecoded(message)
        },
    )

    private fun receive(text: String) {
        val bytes = text.replace("\n", "\r\n").encodeToByteArray()
        // As in packets of a network.
        bytes.toList().chunked(PACKET_BYTES).forEach {
            channel.writeInbound(Unpooled.wrappedBuffer(it.toByteArray()))
        }
    }

    @Nested
    inner class `What is incomplete counts` {
        @Test
        fun `by the bytes of a long field`() {
            receive("GET / HTTP/1.1\na: " + "b".repeat(10_000))
            assertTrue(received.bytes >= 10_000, "${received.bytes}")
        }

        @Test
        fun `by the number of short fields`() {
            receive("GET / HTTP/1.1\n" + "a:b\n".repeat(1_000))
            assertTrue(received.bytes >= 160_000, "${received.bytes}")
        }

        @Test
        fun `by the number of fields of a trailer`() {
            receive("POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n0\n" + "a:b\n".repeat(1_000))
            assertTrue(received.bytes >= 160_000, "${received.bytes}")
        }
    }

    @Nested
    inner class `What is complete does not count` {
        @Test
        fun `after a request without a body`() {
            receive("GET /orders HTTP/1.1\nHost:   calls.example\n" + "a: b\n".repeat(20) + "\n")
            assertEquals(0, received.bytes)
        }

        @Test
        fun `after a body in many chunks`() {
            receive("POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n")
            receive("a\n0123456789\n".repeat(5_000) + "0\n\n")
            assertEquals(0, received.bytes)
        }
    }

    private companion object {
        const val PACKET_BYTES = 1_400
    }
}
