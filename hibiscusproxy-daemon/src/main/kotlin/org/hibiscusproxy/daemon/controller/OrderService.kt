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
 * Passes operators' orders on to the sidecars beside the engines and waits for the outcome. The
 * sidecar alone decides whether an order is sent, so that nothing here has to survive a change of
 * leaders: the next leader gives a resent order the same number, and the sidecar recognises it.
 * Used by the worker only.
 */
internal class OrderService(
    private val state: ControlState,
    private val leases: LeaseService,
    private val time: TimeSource.WithComparableMarks,
) {
    private class Waiting(
        val number: Long,
        val request: OperatorRequest.Order,
        val until: ComparableTimeMark,
        val reply: CompletableFuture<OperatorReply>,
    )

    private val waiting = mutableListOf<Waiting>()

    /** Sends the order of [request] to the target's present sidecar. */
    fun send(request: OperatorRequest.Order, reply: CompletableFuture<OperatorReply>) {
        if (state.fleet.objects.targets.none { it.name == request.target }) {
            val message = "there is no target \"${request.target}\""
            reply.complete(OperatorReply.Failed(OperatorErrorType.NOT_FOUND, message))
            return
        }
        val number = numberOf(request.change)
        val order = Waiting(number, request, time.markNow() + ANSWER_LIMIT, reply)
        val session = leases.presentHolder(request.target)
        val incarnation = state.presentIncarnation(request.target)
        if (session == null || incarnation == null) {
            answer(order, OrderOutcome.NotSent(NotSentReason.NOT_CONNECTED))
            return
        }
        waiting += order
        session.send(
            EngineOrder(number, request.target, incarnation, request.kind, request.value),
        )
    }

    /** Takes the outcome that the sidecar of [session] reports. */
    fun received(session: PeerSession, result: EngineOrderResult) {
        if (session.remote.target != result.target) return
        complete(result.outcome) {
            it.number == result.number && it.request.target == result.target
        }
    }

    /** Answers calls whose sidecar did not report an outcome in time. */
    fun advance() {
        if (waiting.isEmpty()) return
        val now = time.markNow()
        complete(OrderOutcome.Unknown) { it.until <= now }
    }

    /** Sidecars report to the next leader, so that no outcome is to be expected here. */
    fun leadershipChanged() = complete(OrderOutcome.Unknown) { true }

    private fun complete(outcome: OrderOutcome, matches: (Waiting) -> Boolean) {
        val done = waiting.filter(matches)
        waiting.removeAll(done)
        done.forEach { answer(it, outcome) }
    }

    private fun answer(order: Waiting, outcome: OrderOutcome) {
        val report = OrderReport(order.request.change, order.request.target, outcome)
        order.reply.complete(OperatorReply.Order(report))
    }

    /** Computed from the identifier alone, so that every leader gives a resend the same number. */
    private fun numberOf(change: ChangeIdentifier): Long {
        val digest = MessageDigest.getInstance("SHA-256").digest(change.value.encodeToByteArray())
        return ByteBuffer.wrap(digest).getLong()
    }

    companion object {
        /** Longer than a sidecar waits for its engine. */
        val ANSWER_LIMIT = 12.seconds
    }
}
