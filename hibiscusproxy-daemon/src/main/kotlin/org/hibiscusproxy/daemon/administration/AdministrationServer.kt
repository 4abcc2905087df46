package org.hibiscusproxy.daemon.administration

import io.javalin.Javalin
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.hibiscusproxy.daemon.process.MetricsPage
import org.hibiscusproxy.model.NetworkAddress

/**
 * Serves `/health` (the process runs), `/ready` (it takes new work; 503 otherwise) and `/metrics`
 * (Prometheus text) on a few threads of its own.
 */
class AdministrationServer(
    private val address: NetworkAddress,
    private val metrics: MetricsPage,
    private val isReady: () -> Boolean,
) : AutoCloseable {
    private val server = lazy(::create)

    private fun create(): Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(MAXIMUM_THREADS, 1)
        config.routes.get("/health") { it.result("ok\n") }
        config.routes.get("/ready") { context ->
            val ready = isReady()
            context.status(if (ready) 200 else 503).result(if (ready) "ready\n" else "not ready\n")
        }
        config.routes.get("/metrics") { context ->
            context.contentType(METRICS_CONTENT_TYPE).result(metrics.text())
        }
    }

    /** Opens the listener. */
    fun start() {
        server.value.start(address.host, address.port)
    }

    override fun close() {
        if (server.isInitialized()) server.value.stop()
    }

    private companion object {
        // Jetty needs one acceptor, one selector and a thread to serve a request.
        const val MAXIMUM_THREADS = 6
        const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
