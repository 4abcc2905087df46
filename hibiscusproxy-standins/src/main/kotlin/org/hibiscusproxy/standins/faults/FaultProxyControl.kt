package org.hibiscusproxy.standins.faults

import io.javalin.http.Context
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.answer
import org.hibiscusproxy.standins.http.read

/**
 * HTTP control of a [FaultProxy]. Each change answers with all faults that are effective after it.
 * The query parameter `direction` is `forward`, `backward` or `both` (the default).
 */
class FaultProxyControl(listen: NetworkAddress, private val proxy: FaultProxy) : AutoCloseable {
    private val server = StandInServer.start(listen, threads = CONTROL_THREADS) { config ->
        val routes = config.routes
        routes.get("/stats") { it.answer(proxy.stats()) }
        routes.get("/faults") { it.answer(proxy.faults) }
        routes.put("/faults") { change(it) { _ -> it.read<ProxyFaults>() } }
        routes.post("/pass") { change(it) { _ -> ProxyFaults() } }
        routes.post("/refuse") { change(it) { old -> old.copy(connect = ConnectFault.REFUSE) } }
        routes.post("/reset") { change(it) { old -> old.copy(connect = ConnectFault.RESET) } }
        routes.post("/reset-once") {
            proxy.resetConnections()
            it.answer(proxy.faults)
        }
        routes.post("/cut", ::cut)
        routes.post("/delay", ::delay)
        routes.post("/bandwidth", ::bandwidth)
        routes.post("/drop-after", ::dropAfter)
    }

    /** Where the control listens. */
    val address: NetworkAddress get() = server.address

    override fun close() = server.close()

    private fun cut(context: Context) {
        val bytes = context.queryParam("bytes") ?: "wait"
        val cut = requireNotNull(Cut.entries.find { it.name.equals(bytes, ignoreCase = true) }) {
            "bytes must be wait, vanish or none: $bytes"
        }
        changeDirections(context) { it.copy(cut = cut) }
    }

    private fun delay(context: Context) {
        val milliseconds = number(context, "milliseconds") ?: 0
        val jitter = number(context, "jitter-milliseconds") ?: 0
        changeDirections(context) {
            it.copy(delayMilliseconds = milliseconds, jitterMilliseconds = jitter)
        }
    }

    private fun bandwidth(context: Context) {
        val limit = number(context, "bytes-per-second")
        changeDirections(context) { it.copy(bytesPerSecond = limit) }
    }

    private fun dropAfter(context: Context) {
        val bytes = number(context, "bytes")
        changeDirections(context) { it.copy(resetAfterBytes = bytes) }
    }

    private fun changeDirections(context: Context, edit: (DirectionFaults) -> DirectionFaults) {
        val direction = context.queryParam("direction") ?: "both"
        require(direction in DIRECTIONS) { "direction must be one of $DIRECTIONS: $direction" }
        change(context) { old ->
            old.copy(
                forward = if (direction == "backward") old.forward else edit(old.forward),
                backward = if (direction == "forward") old.backward else edit(old.backward),
            )
        }
    }

    private fun change(context: Context, edit: (ProxyFaults) -> ProxyFaults) {
        proxy.change(edit)
        context.answer(proxy.faults)
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
