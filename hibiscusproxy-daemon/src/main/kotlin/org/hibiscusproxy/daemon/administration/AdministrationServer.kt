package org.hibiscusproxy.daemon.administration

import io.javalin.Javalin
import org.hibiscusproxy.daemon.controller.OperatorAdmission
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.daemon.process.MetricsPage
import org.hibiscusproxy.daemon.startOrStop
import org.hibiscusproxy.model.NetworkAddress

/**
 * Serves `/health` (liveness), `/ready` (503 unless the process accepts new work) and `/metrics`
 * (Prometheus text format) on threads and to a number of connections of its own.
 */
class AdministrationServer(
    private val address: NetworkAddress,
    private val metrics: MetricsPage,
    private val isReady: () -> Boolean,
) : AutoCloseable {
    private var server: Javalin? = null

    private fun createServer(): Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        OperatorAdmission(maximumBodyBytes = 0).configure(config.jetty)
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
        const val METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
