package org.hibiscusproxy.daemon.testing

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import org.hibiscusproxy.model.NetworkAddress

/** A call received by a [FakeTarget]. */
data class TargetCall(
    val method: String,
    val path: String,
    val requestId: String?,
    val body: String,
)

/**
 * HTTP server with configurable responses. Chat calls stream [tokens] events that echo the request
 * body, so that a response delivered to the wrong request is detected; other calls return their own
 * body.
 */
class FakeTarget(port: Int = 0) : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", port), 1_000)
    private val executor = Executors.newCachedThreadPool()
    val address = NetworkAddress("127.0.0.1", server.address.port)
    val url = "http://$address"

    /** Received calls, except those to `/load`. */
    val calls = ConcurrentLinkedQueue<TargetCall>()

    /**
     * Handler that replaces the default response when it returns true. An exception closes the
     * connection in the middle of the response.
     */
    @Volatile
    var behaviour: (HttpExchange, TargetCall) -> Boolean = { _, _ -> false }

    @Volatile
    var tokens = 3

    @Volatile
    var pauseMilliseconds = 0L

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            if (exchange.requestURI.path == "/load") load(exchange) else answer(exchange)
            exchange.close()
        }
        server.start()
    }

    /** Received calls with exactly this [path]. */
    fun callsOf(path: String): List<TargetCall> = calls.filter { it.path == path }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private fun load(exchange: HttpExchange) =
        exchange.answer("application/json", """{"running":0,"waiting":0,"cold":false,"x":1}""")

    private fun answer(exchange: HttpExchange) {
        val call = TargetCall(
            exchange.requestMethod,
            exchange.requestURI.toString(),
            exchange.requestHeaders.getFirst("X-Request-Id"),
            exchange.requestBody.readBytes().decodeToString(),
        )
        calls += call
        if (behaviour(exchange, call)) return
        if (call.path == "/v1/chat/completions") {
            stream(exchange, call)
        } else {
            exchange.answer("text/plain", call.body.ifEmpty { call.path })
        }
    }

    private fun stream(exchange: HttpExchange, call: TargetCall) {
        exchange.startStream()
        repeat(tokens) { index ->
            exchange.event("""{"index":$index,"echo":${call.body}}""")
            if (pauseMilliseconds > 0) Thread.sleep(pauseMilliseconds)
        }
        exchange.event("[DONE]")
    }
}

/** Sends a complete response with the body [text]. */
fun HttpExchange.answer(type: String, text: String, status: Int = 200) {
    val bytes = text.encodeToByteArray()
    responseHeaders.add("Content-Type", type)
    sendResponseHeaders(status, bytes.size.toLong())
    responseBody.write(bytes)
}

/** Starts a stream of server-sent events. */
fun HttpExchange.startStream() {
    responseHeaders.add("Content-Type", "text/event-stream")
    sendResponseHeaders(200, 0)
}

/** Sends one server-sent event. */
fun HttpExchange.event(data: String) {
    responseBody.write("data: $data\n\n".encodeToByteArray())
    responseBody.flush()
}
