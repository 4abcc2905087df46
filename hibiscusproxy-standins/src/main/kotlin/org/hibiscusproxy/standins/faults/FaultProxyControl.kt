package org.hibiscusproxy.standins.faults

import io.javalin.http.Context
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.readJson
import org.hibiscusproxy.standins.http.respondJson

/**
 * HTTP control API of a [FaultProxy]. The response to each change contains all faults that are then
 * active. The query parameter `direction` is `forward`, `backward` or `both` (the default).
 */
class FaultProxyControl(listen: NetworkAddress, private val proxy: FaultProxy) : AutoCloseable {
    private val server = StandInServer.start(listen, threads = CONTROL_THREADS) { config ->
        val routes = config.routes
        routes.get("/stats") { it.respondJson(proxy.stats()) }
        routes.get("/faults") { it.respondJson(proxy.faults) }
        routes.put("/faults") { update(it) { _ -> it.readJson<ProxyFaults>() } }
        routes.post("/pass") { update(it) { _ -> ProxyFaults() } }
        routes.post("/refuse") { update(it) { old -> old.copy(connect = ConnectFault.REFUSE) } }
        routes.post("/reset") { update(it) { old -> old.copy(connect = ConnectFault.RESET) } }
        routes.post("/reset-once") {
            proxy.resetConnections()
            it.respondJson(proxy.faults)
        }
        routes.post("/cut", ::cut)
        routes.post("/delay", ::delay)
        routes.post("/bandwidth", ::bandwidth)
        routes.post("/drop-after", ::dropAfter)
    }

    /** Address on which the control API listens. */
    val address: NetworkAddress get() = server.address

    override fun close() = server.close()

    private fun cut(context: Context) {
        val bytes = context.queryParam("bytes") ?: "wait"
        val cut = requireNotNull(Cut.entries.find { it.name.equals(bytes, ignoreCase = true) }) {
            "bytes must be wait, vanish or none: $bytes"
        }
        updateDirections(context) { it.copy(cut = cut) }
    }

    private fun delay(context: Context) {
        val milliseconds = number(context, "milliseconds") ?: 0
        val jitter = number(context, "jitter-milliseconds") ?: 0
        updateDirections(context) {
            it.copy(delayMilliseconds = milliseconds, jitterMilliseconds = jitter)
        }
    }

    private fun bandwidth(context: Context) {
        val limit = number(context, "bytes-per-second")
        updateDirections(context) { it.copy(bytesPerSecond = limit) }
    }

    private fun dropAfter(context: Context) {
        val bytes = number(context, "bytes")
        updateDirections(context) { it.copy(resetAfterBytes = bytes) }
    }

    private fun updateDirections(
        context: Context,
        transform: (DirectionFaults) -> DirectionFaults,
    ) {
        val direction = context.queryParam("direction") ?: "both"
        require(direction in DIRECTIONS) { "direction must be one of $DIRECTIONS: $direction" }
        update(context) { old ->
            old.copy(
                forward = if (direction == "backward") old.forward else transform(old.forward),
                backward = if (direction == "forward") old.backward else transform(old.backward),
            )
        }
    }

    private fun update(context: Context, transform: (ProxyFaults) -> ProxyFaults) {
        proxy.update(transform)
        context.respondJson(proxy.faults)
    }

    private fun number(context: Context, name: String): Long? {
        val text = context.queryParam(name) ?: return null
        return requireNotNull(text.toLongOrNull()) { "$name must be a number: $text" }
    }

    private companion object {
        const val CONTROL_THREADS = 8
        val DIRECTIONS = listOf("forward", "backward", "both")
    }
}
