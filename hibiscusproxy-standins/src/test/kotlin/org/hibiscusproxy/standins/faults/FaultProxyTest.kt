package org.hibiscusproxy.standins.faults

import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import org.awaitility.Awaitility.await
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.TestClient
import org.hibiscusproxy.standins.anyPort
import org.junit.jupiter.api.Nested

/** Guards against faults that are not injected and against corruption of surviving streams. */
class FaultProxyTest {
    private val echo = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val proxy = FaultProxy(anyPort, NetworkAddress("127.0.0.1", echo.localPort))
    private val sockets = ArrayList<Socket>()

    init {
        thread(isDaemon = true) {
            while (!echo.isClosed) {
                val socket = runCatching { echo.accept() }.getOrNull() ?: break
                thread(isDaemon = true) {
                    runCatching {
                        socket.getInputStream().copyTo(socket.getOutputStream())
                        socket.close()
                    }
                }
            }
        }
    }

    @AfterTest
    fun close() {
        sockets.forEach(Socket::close)
        proxy.close()
        echo.close()
    }

    private fun connect(): Socket = Socket("127.0.0.1", proxy.address.port).also {
        it.soTimeout = 200
        sockets += it
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

    private fun Socket.receive(count: Int): String =
        getInputStream().readNBytes(count).decodeToString()

    private fun backward(faults: DirectionFaults) = proxy.apply(ProxyFaults(backward = faults))

    private fun milliseconds(action: () -> Unit): Long {
        val start = System.nanoTime()
        action()
        return (System.nanoTime() - start) / 1_000_000
    }

    @Nested
    inner class Forwarding {
        @Test
        fun `preserves the byte order and propagates the end of the stream`() {
            val sent = ByteArray(3_000_000) { (it * 31 + it / 1_000).toByte() }
            val socket = connect()
            socket.soTimeout = 5_000
            thread {
                socket.getOutputStream().write(sent)
                socket.shutdownOutput()
            }

            assertContentEquals(sent, socket.getInputStream().readAllBytes())
            assertEquals(3_000_000, proxy.stats().backwardBytes)
        }
    }

    @Nested
    inner class Cutting {
        @Test
        fun `holds bytes back until the cut ends`() {
            val socket = connect()
            socket.send("a")
            assertEquals("a", socket.receive(1))
            proxy.apply(ProxyFaults(forward = DirectionFaults(Cut.WAIT)))
            socket.send("b")
            assertFailsWith<SocketTimeoutException> { socket.receive(1) }

            proxy.apply(ProxyFaults())

            assertEquals("b", socket.receive(1))
        }

        @Test
        fun `that discards bytes never delivers a stream with a gap`() {
            val socket = connect()
            socket.send("a")
            assertEquals("a", socket.receive(1))
            proxy.apply(ProxyFaults(forward = DirectionFaults(Cut.VANISH)))
            socket.send("b")
            assertFailsWith<SocketTimeoutException> { socket.receive(1) }
            proxy.apply(ProxyFaults())
            socket.send("c")

            assertFailsWith<SocketTimeoutException> { socket.receive(1) }
            assertEquals(2, proxy.stats().vanishedBytes)
            assertEquals("d", connect().also { it.send("d") }.receive(1))
        }

        @Test
        fun `hides a connection that was closed before the cut ended`() {
            backward(DirectionFaults(Cut.WAIT))
            connect().use { it.send("a") }
            await().atMost(5, TimeUnit.SECONDS)
                .until { proxy.stats().accepted == 1L && proxy.stats().open == 0 }

            proxy.apply(ProxyFaults())

            assertEquals("b", connect().also { it.send("b") }.receive(1))
            assertEquals(1, proxy.stats().forwardBytes)
        }

        @Test
        fun `in one direction does not affect the other`() {
            val socket = connect()
            socket.send("a")
            assertEquals("a", socket.receive(1))
            backward(DirectionFaults(Cut.WAIT))

            socket.send("b")

            assertFailsWith<SocketTimeoutException> { socket.receive(1) }
            assertEquals(2, proxy.stats().forwardBytes)
        }
    }

    @Nested
    inner class Closing {
        @Test
        fun `refuses new connections until the fault ends`() {
            val old = connect()
            proxy.apply(ProxyFaults(connect = ConnectFault.REFUSE))
            assertFailsWith<ConnectException> { connect() }
            old.send("a")
            assertEquals("a", old.receive(1))

            proxy.apply(ProxyFaults())

            assertEquals("b", connect().also { it.send("b") }.receive(1))
        }

        @Test
        fun `resets open and new connections`() {
            val old = connect()
            old.send("a")
            assertEquals("a", old.receive(1))

            proxy.apply(ProxyFaults(connect = ConnectFault.RESET))

            assertFailsWith<IOException> { old.receive(1) }
            assertFailsWith<IOException> {
                val new = connect()
                repeat(20) {
                    new.send("a")
                    Thread.sleep(10)
                }
            }
        }

        @Test
        fun `resets a connection after the configured number of bytes`() {
            backward(DirectionFaults(resetAfterBytes = 3))
            val socket = connect()

            socket.send("abcdef")

            assertEquals("abc", socket.receive(3))
            assertFailsWith<IOException> { socket.receive(1) }
        }
    }

    @Nested
    inner class Slowing {
        @Test
        fun `delays each byte without accumulating delay`() {
            backward(DirectionFaults(delayMilliseconds = 200, jitterMilliseconds = 10))
            val socket = connect()
            socket.soTimeout = 5_000

            val time = milliseconds {
                repeat(10) {
                    socket.send("a")
                    Thread.sleep(10)
                }
                assertEquals("aaaaaaaaaa", socket.receive(10))
            }

            assertTrue(time in 290..1_500, "took $time ms")
        }

        @Test
        fun `limits the bandwidth`() {
            backward(DirectionFaults(bytesPerSecond = 100_000))
            val socket = connect()
            socket.soTimeout = 5_000

            val time = milliseconds {
                socket.send("x".repeat(40_000))
                socket.receive(40_000)
            }

            assertTrue(time in 350..2_000, "40 kB took $time ms at 100 kB/s")
        }
    }

    @Nested
    inner class Control {
        @Test
        fun `API changes one direction and keeps the other faults`() {
            FaultProxyControl(anyPort, proxy).use { control ->
                val client = TestClient(control.address)
                client.send("POST", "/delay?milliseconds=5&jitter-milliseconds=2")
                client.send("POST", "/cut?direction=forward&bytes=vanish")
                val expected = ProxyFaults(
                    forward = DirectionFaults(Cut.VANISH, 5, 2),
                    backward = DirectionFaults(Cut.NONE, 5, 2),
                )

                assertEquals(expected, client.send("GET", "/faults").json())
                assertEquals(400, client.send("POST", "/cut?direction=up").status)
                assertEquals(ProxyFaults(), client.send("POST", "/pass").json())
            }
        }
    }
}
