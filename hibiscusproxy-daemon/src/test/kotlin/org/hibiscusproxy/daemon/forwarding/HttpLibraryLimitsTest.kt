package org.hibiscusproxy.daemon.forwarding

import io.javalin.Javalin
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import okhttp3.OkHttpClient
import okhttp3.Request
import org.junit.jupiter.api.Nested

/**
 * Documents limitations of HTTP libraries that are the reason why the forwarder uses Netty's HTTP
 * codec. A failure after an update means that the library no longer has the limitation.
 */
class HttpLibraryLimitsTest {
    @Nested
    inner class Jetty {
        @Test
        fun `does not notify a pending request that its caller disconnected`() {
            val received = CountDownLatch(1)
            val ended = CountDownLatch(1)
            val server = Javalin.create { config ->
                config.startup.showJavalinBanner = false
                config.routes.get("/") { context ->
                    val response = CompletableFuture<Unit>()
                    response.whenComplete { _, _ -> ended.countDown() }
                    context.future { response }
                    received.countDown()
                }
            }
            server.start("127.0.0.1", 0)
            Socket("127.0.0.1", server.port()).use {
                it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
                assertTrue(received.await(5, TimeUnit.SECONDS))
            }
            assertFalse(ended.await(DISCONNECT_NOTICE_MILLISECONDS, TimeUnit.MILLISECONDS))
            server.stop()
        }
    }

    @Nested
    inner class OkHttp {
        @Test
        fun `treats a late response to another request as the response to the next one`() {
            ServerSocket(0).use { server ->
                thread(isDaemon = true) { respondTwiceToFirstRequest(server) }
                val client = OkHttpClient()
                val first = client.get("http://127.0.0.1:${server.localPort}/first")
                Thread.sleep(200)
                val second = client.get("http://127.0.0.1:${server.localPort}/second")
                assertEquals(listOf("first", "stray"), listOf(first, second))
            }
        }

        private fun OkHttpClient.get(url: String): String =
            newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

        private fun respondTwiceToFirstRequest(server: ServerSocket) =
            server.accept().use { socket ->
                val input = socket.getInputStream().bufferedReader()
                input.readRequest()
                socket.respond("first")
                socket.respond("stray")
                input.readRequest()
                socket.respond("second")
            }

        private fun java.io.BufferedReader.readRequest() {
            while (!readLine().isNullOrEmpty()) Unit
        }

        private fun Socket.respond(text: String) {
            val head = "HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n"
            getOutputStream().write("$head$text".encodeToByteArray())
        }
    }

    private companion object {
        /** Time within which a target should cancel a request after its caller disconnected. */
        const val DISCONNECT_NOTICE_MILLISECONDS = 500L
    }
}
