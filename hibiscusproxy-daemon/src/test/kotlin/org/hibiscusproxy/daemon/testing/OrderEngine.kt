package org.hibiscusproxy.daemon.testing

import com.sun.net.httpserver.HttpExchange
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Takes orders at [target] as an engine does that checks fencing numbers, or one that does not. */
class OrderEngine(target: FakeTarget, private val checksFencing: Boolean) {
    private var highest = 0L

    /** Values of the orders carried out. */
    val carriedOut = CopyOnWriteArrayList<String>()

    init {
        target.behaviour = { exchange, call -> take(exchange, call) }
    }

    @Synchronized
    private fun take(exchange: HttpExchange, call: TargetCall): Boolean {
        if (call.path != "/orders") return false
        val order = Json.parseToJsonElement(call.body).jsonObject
        val number = order.getValue("fencingNumber").jsonPrimitive.long
        if (checksFencing && number < highest) {
            exchange.answer("application/json", "{}", status = 409)
        } else {
            highest = maxOf(highest, number)
            carriedOut += order.getValue("value").jsonPrimitive.content
            exchange.answer("application/json", "{}")
        }
        return true
    }
}
