package org.hibiscusproxy.daemon.testing

import com.sun.net.httpserver.HttpExchange
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Simulates an engine at [target] that executes orders and optionally checks fencing numbers. */
class OrderEngine(target: FakeTarget, private val checksFencing: Boolean) {
    private var highestNumber = 0L

    /** Values of the executed orders. */
    val carriedOut = CopyOnWriteArrayList<String>()

    init {
        target.behaviour = { exchange, call -> handleOrder(exchange, call) }
    }

    @Synchronized
    private fun handleOrder(exchange: HttpExchange, call: TargetCall): Boolean {
        if (call.path != "/orders") return false
        val order = Json.parseToJsonElement(call.body).jsonObject
        val number = order.getValue("fencingNumber").jsonPrimitive.long
        if (checksFencing && number < highestNumber) {
            exchange.answer("application/json", "{}", status = 409)
        } else {
            highestNumber = maxOf(highestNumber, number)
            carriedOut += order.getValue("value").jsonPrimitive.content
            exchange.answer("application/json", "{}")
        }
        return true
    }
}
