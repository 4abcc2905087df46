package org.hibiscusproxy.daemon.controller

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome

/**
 * Forwards operators' orders to the sidecars of the engines and waits for the outcomes. Sidecars
 * decide whether an order is sent to the engine, so no state here has to survive a change of leader:
 * the next leader gives a resent order the same number, by which the sidecar recognises it. Used by
 * the worker only.
 */
internal class OrderService(
    private val state: ControlState,
    private val leases: LeaseService,
    private val time: TimeSource.WithComparableMarks,
) {
    private class PendingOrder(
        val number: Long,
        val request: OperatorRequest.Order,
        val until: ComparableTimeMark,
        val reply: CompletableFuture<OperatorReply>,
    )

    private val pending = mutableListOf<PendingOrder>()

    /** Sends the order of [request] to the current sidecar of the target. */
    fun send(request: OperatorRequest.Order, reply: CompletableFuture<OperatorReply>) {
        if (state.fleet.objects.targets.none { it.name == request.target }) {
            val message = "there is no target \"${request.target}\""
            reply.complete(OperatorReply.Failed(OperatorErrorType.NOT_FOUND, message))
            return
        }
        val number = numberOf(request.change)
        val order = PendingOrder(number, request, time.markNow() + ANSWER_LIMIT, reply)
        val session = leases.currentHolder(request.target)
        val incarnation = state.presentIncarnation(request.target)
        if (session == null || incarnation == null) {
            answer(order, OrderOutcome.NotSent(NotSentReason.NOT_CONNECTED))
            return
        }
        pending += order
        session.send(
            EngineOrder(number, request.target, incarnation, request.kind, request.value),
        )
    }

    /** Completes the order whose outcome the sidecar of [session] reports. */
    fun receiveResult(session: PeerSession, result: EngineOrderResult) {
        if (session.remote.target != result.target) return
        complete(result.outcome) {
            it.number == result.number && it.request.target == result.target
        }
    }

    /** Completes orders whose sidecar did not report an outcome in time. */
    fun advance() {
        if (pending.isEmpty()) return
        val now = time.markNow()
        complete(OrderOutcome.Unknown) { it.until <= now }
    }

    /** Completes all orders as unknown, because sidecars report to the new leader from now on. */
    fun leadershipChanged() = complete(OrderOutcome.Unknown) { true }

    private fun complete(outcome: OrderOutcome, matches: (PendingOrder) -> Boolean) {
        val done = pending.filter(matches)
        pending.removeAll(done)
        done.forEach { answer(it, outcome) }
    }

    private fun answer(order: PendingOrder, outcome: OrderOutcome) {
        val report = OrderReport(order.request.change, order.request.target, outcome)
        order.reply.complete(OperatorReply.Order(report))
    }

    /** Depends on the identifier alone, so that every leader gives a resend the same number. */
    private fun numberOf(change: ChangeIdentifier): Long {
        val digest = MessageDigest.getInstance("SHA-256").digest(change.value.encodeToByteArray())
        return ByteBuffer.wrap(digest).getLong()
    }

    companion object {
        /** Longer than the time for which a sidecar waits for its engine. */
        val ANSWER_LIMIT = 12.seconds
    }
}
