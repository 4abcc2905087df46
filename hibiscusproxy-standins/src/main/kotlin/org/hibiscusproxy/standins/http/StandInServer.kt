package org.hibiscusproxy.standins.http

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.answers.ErrorBody
import org.hibiscusproxy.standins.answers.ErrorDetails
import org.hibiscusproxy.standins.answers.standInJson

/** A running HTTP server of a stand-in, with few threads and small buffers. */
class StandInServer private constructor(
    private val application: Javalin,
    private val connector: ServerConnector,
    private val host: String,
) : AutoCloseable {
    /** Address of the listener, with the real port when port 0 was asked for. */
    val address: NetworkAddress get() = NetworkAddress(host, connector.localPort)

    /** Closes the listener without waiting for requests in progress. */
    override fun close() {
        application.stop()
    }

    companion object {
        private const val OUTPUT_BUFFER_BYTES = 4_096
        private const val IDLE_MILLISECONDS = 600_000L
        private const val MINIMUM_THREADS = 4
        private const val ACCEPT_QUEUE = 1_024
        private const val MAXIMUM_BODY_BYTES = 16_777_216L

        /** Listens at [listen] with at most [threads] threads and the routes of [configure]. */
        fun start(
            listen: NetworkAddress,
            threads: Int = 12,
            configure: (JavalinConfig) -> Unit,
        ): StandInServer {
            lateinit var connector: ServerConnector
            val application = Javalin.create { config ->
                config.startup.showJavalinBanner = false
                config.http.maxRequestSize = MAXIMUM_BODY_BYTES
                config.http.asyncTimeout = 0
                config.jetty.threadPool =
                    QueuedThreadPool(threads, MINIMUM_THREADS).apply { reservedThreads = 0 }
                config.jetty.addConnector { server, http ->
                    http.outputBufferSize = OUTPUT_BUFFER_BYTES
                    http.sendServerVersion = false
                    ServerConnector(server, 1, 1, HttpConnectionFactory(http)).apply {
                        host = listen.host
                        port = listen.port
                        idleTimeout = IDLE_MILLISECONDS
                        acceptQueueSize = ACCEPT_QUEUE
                    }.also { connector = it }
                }
                config.routes.exception(SerializationException::class.java) { failure, context ->
                    context.fail(400, "invalid-json", failure.message.orEmpty())
                }
                config.routes.exception(IllegalArgumentException::class.java) { failure, context ->
                    context.fail(400, "invalid-request", failure.message.orEmpty())
                }
                configure(config)
            }
            application.start()
            return StandInServer(application, connector, listen.host)
        }
    }
}

/** Answers with [value] as JSON. */
inline fun <reified T> Context.answer(value: T, status: Int = 200) {
    this.status(status).contentType("application/json").result(standInJson.encodeToString(value))
}

/** Answers with a typed error body. */
fun Context.fail(status: Int, type: String, message: String) {
    answer(ErrorBody(ErrorDetails(type, message)), status)
}

/** Reads the request's body as JSON. */
inline fun <reified T> Context.read(): T = standInJson.decodeFromString<T>(body())
