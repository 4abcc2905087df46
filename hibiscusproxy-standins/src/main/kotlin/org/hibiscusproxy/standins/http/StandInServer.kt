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

/** HTTP server of a simulated process, configured with few threads and small buffers. */
class StandInServer private constructor(
    private val application: Javalin,
    private val connector: ServerConnector,
    private val host: String,
) : AutoCloseable {
    /** Address of the listener, with the actual port when port 0 was requested. */
    val address: NetworkAddress get() = NetworkAddress(host, connector.localPort)

    /** Stops the server without waiting for requests in progress. */
    override fun close() {
        application.stop()
    }

    companion object {
        private const val OUTPUT_BUFFER_BYTES = 4_096
        private const val IDLE_TIMEOUT_MILLISECONDS = 600_000L
        private const val MINIMUM_THREADS = 4
        private const val BACKLOG = 1_024
        private const val MAXIMUM_BODY_BYTES = 16_777_216L

        /** Starts a server on [listen] with up to [threads] threads, configured by [configure]. */
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
                        idleTimeout = IDLE_TIMEOUT_MILLISECONDS
                        acceptQueueSize = BACKLOG
                    }.also { connector = it }
                }
                config.routes.exception(SerializationException::class.java) { failure, context ->
                    context.respondError(400, "invalid-json", failure.message.orEmpty())
                }
                config.routes.exception(IllegalArgumentException::class.java) { failure, context ->
                    context.respondError(400, "invalid-request", failure.message.orEmpty())
                }
                configure(config)
            }
            application.start()
            return StandInServer(application, connector, listen.host)
        }
    }
}

/** Sends [value] as a JSON response. */
inline fun <reified T> Context.respondJson(value: T, status: Int = 200) {
    this.status(status).contentType("application/json").result(standInJson.encodeToString(value))
}

/** Sends an error response with the given error type. */
fun Context.respondError(status: Int, type: String, message: String) {
    respondJson(ErrorBody(ErrorDetails(type, message)), status)
}

/** Decodes the request body from JSON. */
inline fun <reified T> Context.readJson(): T = standInJson.decodeFromString<T>(body())
