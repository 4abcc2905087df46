package org.hibiscusproxy.daemon.controller

import io.javalin.config.JettyConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import io.javalin.http.HttpStatus
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.server.AbstractConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.hibiscusproxy.forwarding.CallerMemoryBudget
import org.hibiscusproxy.forwarding.Excess
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Bounds what operators' connections use: their number, the memory of their bodies and the time that
 * a body takes. At the limit, the connection that has waited longest for a complete request is closed
 * for a new one; one whose call is being answered stays. There is a thread for each connection, so
 * that slow bodies don't keep another call from being read.
 *
 * Safe for concurrent use; the memory budget is guarded by its own monitor, which is never held
 * together with that of the connections.
 *
 * @param maximumBodyBytes size of the largest body
 */
class OperatorAdmission(private val maximumBodyBytes: Long) : Connection.Listener {
    private val waiting = LinkedHashMap<Connection, Boolean>()
    private val lastLogged = ConcurrentHashMap<String, Long>()
    private val memory = CallerMemoryBudget<Connection>(
        maxOf(
            CallerMemoryBudget.defaultBytes(Runtime.getRuntime().maxMemory()),
            maximumBodyBytes + maximumBodyBytes / 2,
        ),
        TimeSource.Monotonic,
    )

    /** Sets up the threads and the connections of a server. */
    fun configure(jetty: JettyConfig) {
        jetty.threadPool = QueuedThreadPool(MAXIMUM_CONNECTIONS + SERVER_THREADS, 1)
        jetty.modifyServer { server ->
            server.addEventListener(
                object : org.eclipse.jetty.util.component.LifeCycle.Listener {
                    override fun lifeCycleStarting(
                        event: org.eclipse.jetty.util.component.LifeCycle,
                    ) {
                        server.connectors.filterIsInstance<AbstractConnector>().forEach {
                            it.addBean(this@OperatorAdmission)
                        }
                    }
                },
            )
        }
    }

    override fun onOpened(connection: Connection) {
        val closed = synchronized(waiting) {
            val isFull = waiting.size >= MAXIMUM_CONNECTIONS
            val oldest = if (isFull) waiting.entries.firstOrNull { it.value }?.key else null
            if (isFull && oldest == null) {
                connection
            } else {
                oldest?.let(waiting::remove)
                waiting[connection] = true
                oldest
            }
        }
        if (closed == null) return
        log("connections", "operators: {} connections, one is closed", MAXIMUM_CONNECTIONS)
        close(closed)
    }

    override fun onClosed(connection: Connection) {
        synchronized(waiting) { waiting.remove(connection) }
    }

    /** Notes that the call of [context] is being answered, and no longer received. */
    fun beginAnswer(context: Context) = synchronized(waiting) {
        waiting.replace(connection(context), false)
    }

    /** Notes that the call of [context] was answered. */
    fun endAnswer(context: Context) = synchronized(waiting) {
        val connection = connection(context)
        if (waiting.remove(connection) != null) waiting[connection] = true
    }

    /**
     * Reads the body of [context] and passes it to [use]. Its memory counts until [use] returns.
     *
     * @throws HttpResponseException if the body is too large or too slow, or the memory for bodies is
     *   in use
     */
    fun <T> withBody(context: Context, use: (ByteArray) -> T): T {
        if (context.req().contentLengthLong > maximumBodyBytes) throw tooLarge()
        val holding = synchronized(memory) { memory.open(connection(context)) }
        try {
            val body = read(context, holding)
            synchronized(memory) { holding.update(unfinished = 0, inProgress = body.size.toLong()) }
            beginAnswer(context)
            return use(body)
        } finally {
            synchronized(memory) { holding.release() }
        }
    }

    private fun read(
        context: Context,
        holding: CallerMemoryBudget<Connection>.Holding,
    ): ByteArray {
        val startedAt = TimeSource.Monotonic.markNow()
        val input = context.req().inputStream
        val pieces = ArrayList<ByteArray>()
        var size = 0L
        while (true) {
            val piece = readPiece(input) ?: return join(pieces, size)
            pieces += piece
            size += piece.size
            if (size > maximumBodyBytes) throw tooLarge()
            if (startedAt.elapsedNow() > BODY_LIMIT) {
                throw refusal(HttpStatus.REQUEST_TIMEOUT, "the body takes too long")
            }
            // The pieces are copied once when all have arrived.
            shed(holding, size + size)
        }
    }

    private fun readPiece(input: java.io.InputStream): ByteArray? {
        val buffer = ByteArray(PIECE_BYTES)
        val count = try {
            input.read(buffer)
        } catch (failure: IOException) {
            throw refusal(HttpStatus.REQUEST_TIMEOUT, "the body cannot be read: $failure")
        }
        return if (count < 0) null else buffer.copyOf(count)
    }

    private fun join(pieces: List<ByteArray>, size: Long): ByteArray {
        val body = ByteArray(size.toInt())
        var position = 0
        for (piece in pieces) {
            piece.copyInto(body, position)
            position += piece.size
        }
        return body
    }

    private fun shed(holding: CallerMemoryBudget<Connection>.Holding, size: Long) {
        val excess = synchronized(memory) {
            holding.update(unfinished = size)
            memory.excess(holding)
        }
        excess.filter { it.owner !== holding.owner }.forEach { close(it.owner) }
        val own = excess.firstOrNull { it.owner === holding.owner } ?: return
        log(
            "memory",
            "operators: the memory for bodies is in use, a body of {} bytes given up",
            size,
        )
        throw when (own) {
            is Excess.Body -> refusal(HttpStatus.REQUEST_TIMEOUT, "the memory for bodies is in use")
            else -> refusal(HttpStatus.SERVICE_UNAVAILABLE, "the memory for bodies is in use")
        }
    }

    /** Logs [text] at most once in [LOG_INTERVAL] for each [kind]. */
    private fun log(kind: String, text: String, value: Any) {
        val now = System.nanoTime()
        val last = lastLogged[kind]
        if (last != null && now - last < LOG_INTERVAL.inWholeNanoseconds) return
        lastLogged[kind] = now
        LOG.warn(text, value)
    }

    private fun close(connection: Connection) =
        connection.endPoint.close(IOException("closed for another connection"))

    private fun connection(context: Context): Connection =
        ServletContextRequest.getServletContextRequest(context.req())
            .connectionMetaData.connection

    private fun tooLarge() = refusal(
        HttpStatus.CONTENT_TOO_LARGE,
        "the body has more than $maximumBodyBytes bytes",
    )

    private fun refusal(status: HttpStatus, message: String) =
        HttpResponseException(status.code, message)

    companion object {
        /** Operators and the platform use a few at once. */
        const val MAXIMUM_CONNECTIONS = 24

        /** Value of `Retry-After` in seconds; unfinished bodies are given up in less. */
        const val RETRY_AFTER = "1"

        /** An acceptor, a selector and threads that the server keeps in reserve. */
        private const val SERVER_THREADS = 6

        /** The largest document takes a second on the slowest link of the platform. */
        private val BODY_LIMIT = 10.seconds
        private const val PIECE_BYTES = 16_384
        private val LOG_INTERVAL = 1.seconds
        private val LOG: Logger = LoggerFactory.getLogger(OperatorAdmission::class.java)
    }
}
