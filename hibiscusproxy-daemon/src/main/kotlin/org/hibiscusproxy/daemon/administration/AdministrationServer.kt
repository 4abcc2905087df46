package org.hibiscusproxy.daemon.administration

import io.javalin.Javalin
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.daemon.process.MetricsPage
import org.hibiscusproxy.daemon.startOrStop
import org.hibiscusproxy.model.NetworkAddress

/**
 * Serves `/health` (liveness), `/ready` (503 unless the process accepts new work) and `/metrics`
 * (Prometheus text format) on a small dedicated thread pool.
 */
class AdministrationServer(
    private val address: NetworkAddress,
    private val metrics: MetricsPage,
    private val isReady: () -> Boolean,
) : AutoCloseable {
    private var server: Javalin? = null

    private fun createServer(): Javalin = Javalin.create { config ->
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
    suspend fun start() {
        openListener("administration", address) {
            server = createServer().apply { startOrStop(address) }
        }
    }

    override fun close() {
        server?.stop()
    }

    private companion object {
        // Jetty needs an acceptor, a selector and at least one thread that serves requests.
        const val MAXIMUM_THREADS = 6
        const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
