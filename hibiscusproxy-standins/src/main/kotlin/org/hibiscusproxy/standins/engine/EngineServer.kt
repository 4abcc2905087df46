package org.hibiscusproxy.standins.engine

import io.javalin.config.JavalinConfig
import org.eclipse.jetty.ee10.servlet.ServletHolder
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.answers.ChatRequest
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.readJson
import org.hibiscusproxy.standins.http.respondError
import org.hibiscusproxy.standins.http.respondJson

/** HTTP server of a simulated engine. */
class EngineServer private constructor(
    private val engine: Engine,
    private val server: StandInServer,
) : AutoCloseable {
    /** Address on which the engine listens. */
    val address: NetworkAddress get() = server.address

    override fun close() {
        server.close()
        engine.close()
    }

    companion object {
        /**
         * Starts an engine that listens on [listen].
         *
         * @param exit terminates the process with the given exit code
         */
        fun start(
            listen: NetworkAddress,
            options: EngineOptions,
            exit: (Int) -> Unit = { Runtime.getRuntime().halt(it) },
        ): EngineServer {
            val engine = Engine(options, exit)
            val server = StandInServer.start(listen) { config ->
                config.jetty.modifyServletContextHandler { handler ->
                    val servlet = ServletHolder(EngineServlet(options.name, engine))
                    servlet.isAsyncSupported = true
                    handler.addServlet(servlet, "/v1/chat/completions")
                    handler.addServlet(servlet, "/v1/streams/*")
                }
                addRoutes(config, options, engine)
            }
            return EngineServer(engine, server)
        }

        private fun addRoutes(config: JavalinConfig, options: EngineOptions, engine: Engine) {
            val routes = config.routes
            routes.before { engine.awaitResponsive() }
            routes.get("/health") { it.respondJson(engine.load()) }
            routes.get("/load") { it.respondJson(engine.load()) }
            routes.get("/stats") { it.respondJson(engine.stats()) }
            routes.get("/cache-events") {
                it.respondJson(engine.cacheEvents(it.queryParam("after")?.toLong() ?: 0))
            }
            routes.post("/v1/cancel/{requestId}") {
                val requestId = it.pathParam("requestId")
                when (val cancelled = engine.cancel(requestId)) {
                    null -> it.respondError(404, "unknown-request", "unknown request: $requestId")
                    else -> it.respondJson(CancelReply(requestId, cancelled))
                }
            }
            routes.post("/orders") {
                val order = it.readJson<EngineOrder>()
                if (engine.accept(order)) {
                    it.respondJson(order)
                } else {
                    val message = "stale fencing number: ${order.fencingNumber}"
                    it.respondError(409, "stale-fencing-number", message)
                }
            }
            routes.get("/orders") { it.respondJson(engine.orders()) }
            routes.post("/kv/export") {
                it.respondJson(engine.exportPrefix(it.readJson<ChatRequest>().messages))
            }
            routes.post("/kv/import") {
                val transfer = it.readJson<CacheTransfer>()
                engine.importPrefix(transfer)
                it.respondJson(transfer)
            }
            routes.post("/cold") {
                val seconds = it.queryParam("seconds")?.toDouble() ?: options.coldSeconds
                engine.restartCold(seconds)
                it.respondJson(engine.load())
            }
        }
    }
}
