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
 * Takes orders for one incarnation of a sidecar. Each order number is carried out at most once: a
 * resend gets the outcome of the first, also when that was "not sent", so that a late duplicate of
 * a refused order never reaches the engine. Orders go to the engine one at a time, in the order of
 * arrival.
 *
 * The monitor guards [known] and is never held while the engine is called. The mutex orders the
 * calls and is taken without the monitor.
 *
 * @param call carries out an order at the engine
 * @param answer passes a result on to the controllers
 */
internal class OrderDesk(
    private val incarnation: Incarnation,
    private val call: OrderCall,
    private val answer: suspend (EngineOrderResult) -> Unit,
) {
    private class Known(val order: EngineOrder) {
        val outcome = CompletableFuture<OrderOutcome>()
    }

    private val known = LinkedHashMap<Long, Known>()
    private val oneAtATime = Mutex()

    /** Takes [order] and answers it from [scope]. */
    fun take(order: EngineOrder, scope: CoroutineScope) {
        if (order.incarnation != incarnation) {
            scope.reply(order, OrderOutcome.NotSent(NotSentReason.OTHER_INCARNATION))
            return
        }
        val fresh = Known(order)
        val first = remember(fresh)
        when {
            first == null -> scope.reply(order, OrderOutcome.NotSent(NotSentReason.OVERLOADED))
            first === fresh -> carryOut(first, scope)
            first.order != order ->
                scope.reply(order, OrderOutcome.NotSent(NotSentReason.NUMBER_REUSED))
            else -> first.outcome.thenAccept { scope.reply(order, it) }
        }
    }

    /** The first order with the number of [fresh]; null when too many are in progress. */
    @Synchronized
    private fun remember(fresh: Known): Known? {
        known[fresh.order.number]?.let { return it }
        known.entries.removeIf { known.size >= KEPT_ORDERS && it.value.outcome.isDone }
        if (known.size >= KEPT_ORDERS) return null
        known[fresh.order.number] = fresh
        return fresh
    }

    /**
     * Starts undispatched, so that orders queue for the mutex in the order of arrival. The call
     * itself blocks and is dispatched by `async`: `withContext` would keep the caller's thread
     * when the scope has the same dispatcher.
     */
    private fun carryOut(first: Known, scope: CoroutineScope) {
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val outcome = oneAtATime.withLock {
                async(Dispatchers.IO) { call.run(first.order) }.await()
            }
            first.outcome.complete(outcome)
            answer(EngineOrderResult(first.order.number, first.order.target, outcome))
        }
    }

    private fun CoroutineScope.reply(order: EngineOrder, outcome: OrderOutcome) {
        launch { answer(EngineOrderResult(order.number, order.target, outcome)) }
    }

    private companion object {
        /** Orders are rare, so that a resend comes long before its number is forgotten. */
        const val KEPT_ORDERS = 1_024
    }
}
