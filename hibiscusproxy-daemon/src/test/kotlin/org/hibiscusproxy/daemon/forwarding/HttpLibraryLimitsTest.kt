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
 * Why the forwarder uses Netty's HTTP codec. When one of these tests fails after an update, the
 * library in question has become fit for the forwarder.
 */
class HttpLibraryLimitsTest {
    @Nested
    inner class Jetty {
        @Test
        fun `does not tell a waiting request that its caller left`() {
            val received = CountDownLatch(1)
            val ended = CountDownLatch(1)
            val server = Javalin.create { config ->
                config.startup.showJavalinBanner = false
                config.routes.get("/") { context ->
                    val answer = CompletableFuture<Unit>()
                    answer.whenComplete { _, _ -> ended.countDown() }
                    context.future { answer }
                    received.countDown()
                }
            }
            server.start("127.0.0.1", 0)
            Socket("127.0.0.1", server.port()).use {
                it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
                assertTrue(received.await(5, TimeUnit.SECONDS))
            }
            assertFalse(ended.await(NOTICED_MILLISECONDS, TimeUnit.MILLISECONDS))
            server.stop()
        }
    }

    @Nested
    inner class OkHttp {
        @Test
        fun `takes a late answer to another request for the answer to the next one`() {
            ServerSocket(0).use { server ->
                thread(isDaemon = true) { answerTwiceToTheFirst(server) }
                val client = OkHttpClient()
                val first = client.get("http://127.0.0.1:${server.localPort}/first")
                Thread.sleep(200)
                val second = client.get("http://127.0.0.1:${server.localPort}/second")
                assertEquals(listOf("first", "stray"), listOf(first, second))
            }
        }

        private fun OkHttpClient.get(url: String): String =
            newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }

        private fun answerTwiceToTheFirst(server: ServerSocket) = server.accept().use { socket ->
            val input = socket.getInputStream().bufferedReader()
            input.readRequest()
            socket.answer("first")
            socket.answer("stray")
            input.readRequest()
            socket.answer("second")
        }

        private fun java.io.BufferedReader.readRequest() {
            while (!readLine().isNullOrEmpty()) Unit
        }

        private fun Socket.answer(text: String) {
            val head = "HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n"
            getOutputStream().write("$head$text".encodeToByteArray())
        }
    }

    private companion object {
        /** Targets should stop working on a request this soon after its caller left. */
        const val NOTICED_MILLISECONDS = 500L
    }
}
