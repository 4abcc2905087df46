package org.hibiscusproxy.daemon.sidecar

import java.util.concurrent.CompletableFuture
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome

/**
 * Processes the orders for one incarnation of a sidecar. Each order number is sent at most once: a
 * resend gets the outcome of the first order, even if that is "not sent", so that a late duplicate
 * of a refused order never reaches the engine. Orders are sent to the engine one at a time, in the
 * order of arrival.
 *
 * The monitor guards [trackedOrders] and is never held while the engine is called. [sendMutex]
 * serializes the calls and is acquired without the monitor.
 *
 * @param client sends an order to the engine
 * @param sendResult sends a result to the controllers
 */
internal class OrderProcessor(
    private val incarnation: Incarnation,
    private val client: OrderClient,
    private val sendResult: suspend (EngineOrderResult) -> Unit,
) {
    private class TrackedOrder(val order: EngineOrder) {
        val outcome = CompletableFuture<OrderOutcome>()
    }

    private val trackedOrders = LinkedHashMap<Long, TrackedOrder>()
    private val sendMutex = Mutex()

    /** Processes [order] and sends its result, both in [scope]. */
    fun process(order: EngineOrder, scope: CoroutineScope) {
        if (order.incarnation != incarnation) {
            scope.reply(order, OrderOutcome.NotSent(NotSentReason.OTHER_INCARNATION))
            return
        }
        val received = TrackedOrder(order)
        val first = track(received)
        when {
            first == null -> scope.reply(order, OrderOutcome.NotSent(NotSentReason.OVERLOADED))
            first === received -> send(first, scope)
            first.order != order ->
                scope.reply(order, OrderOutcome.NotSent(NotSentReason.NUMBER_REUSED))
            else -> first.outcome.thenAccept { scope.reply(order, it) }
        }
    }

    /** Returns the first order with the number of [received]; null if too many are in progress. */
    @Synchronized
    private fun track(received: TrackedOrder): TrackedOrder? {
        trackedOrders[received.order.number]?.let { return it }
        trackedOrders.entries.removeIf {
            trackedOrders.size >= MAXIMUM_TRACKED_ORDERS &&
                it.value.outcome.isDone
        }
        if (trackedOrders.size >= MAXIMUM_TRACKED_ORDERS) return null
        trackedOrders[received.order.number] = received
        return received
    }

    /**
     * Starts undispatched, so that orders wait for the mutex in the order of arrival. The call to
     * the engine blocks and is dispatched by `async`, because `withContext` would stay on the
     * caller's thread if the scope uses the same dispatcher.
     */
    private fun send(first: TrackedOrder, scope: CoroutineScope) {
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val outcome = sendMutex.withLock {
                async(Dispatchers.IO) { client.send(first.order) }.await()
            }
            first.outcome.complete(outcome)
            sendResult(EngineOrderResult(first.order.number, first.order.target, outcome))
        }
    }

    private fun CoroutineScope.reply(order: EngineOrder, outcome: OrderOutcome) {
        launch { sendResult(EngineOrderResult(order.number, order.target, outcome)) }
    }

    private companion object {
        /** Orders are rare, so a resend arrives long before its number is evicted. */
        const val MAXIMUM_TRACKED_ORDERS = 1_024
    }
}
