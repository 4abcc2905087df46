package org.hibiscusproxy.daemon.controller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineOrderResult
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LeaseRequest
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome
import org.junit.jupiter.api.Nested

/** Guards against orders sent to the wrong sidecar and calls that are never answered. */
class OrderServiceTest {
    private val leader = CoreFixture().elapse(3.seconds).apply { publish() }
    private val t1 = TargetName("t1")

    private fun sidecar(incarnation: Long = 1): RecordingSession {
        val session = leader.session("sidecar-1", "t1", incarnation)
        val request = LeaseRequest(1, t1, Incarnation(incarnation), LoadReport(), 0)
        assertIs<LeaseGrant>(leader.deliver(session, request).single())
        session.received.clear()
        return session
    }

    private fun order(change: String = "a", target: TargetName = t1) =
        OperatorRequest.Order(ChangeIdentifier(change), target, "load-model", "m")

    private fun outcome(reply: OperatorReply): OrderOutcome =
        assertIs<OperatorReply.Order>(reply).report.outcome

    private fun RecordingSession.order(): EngineOrder = received.single() as EngineOrder

    @Nested
    inner class Forwarding {
        @Test
        fun `reaches the sidecar of the current incarnation and returns its outcome`() {
            val old = sidecar()
            leader.elapse(4.seconds)
            val current = sidecar(incarnation = 2)
            val reply = leader.submit(order())

            val sent = current.order()
            assertEquals(EngineOrder(sent.number, t1, Incarnation(2), "load-model", "m"), sent)
            assertEquals(emptyList(), old.received)
            assertFalse(reply.isDone)
            leader.deliver(current, EngineOrderResult(sent.number, t1, OrderOutcome.Accepted(2)))
            assertEquals(OrderOutcome.Accepted(2), outcome(reply.getNow(null)))
        }

        /** Guards against resends that a sidecar treats as new orders. */
        @Test
        fun `gives a resend the same number and a new order a different one`() {
            val sidecar = sidecar()
            listOf("a", "a", "b").forEach { leader.submit(order(it)) }

            val numbers = sidecar.received.map { (it as EngineOrder).number }
            assertEquals(numbers[0], numbers[1])
            assertNotEquals(numbers[0], numbers[2])
        }

        @Test
        fun `ignores an outcome from the sidecar of another target`() {
            val sidecar = sidecar()
            val reply = leader.submit(order())
            val result = EngineOrderResult(sidecar.order().number, t1, OrderOutcome.Accepted(1))

            leader.deliver(leader.session("sidecar-2", "t2"), result)
            assertFalse(reply.isDone)
        }
    }

    @Nested
    inner class Answers {
        @Test
        fun `report an unknown outcome after the time limit`() {
            sidecar()
            val reply = leader.submit(order())
            leader.elapse(OrderService.ANSWER_LIMIT - 1.seconds)
            assertFalse(reply.isDone)
            leader.elapse(2.seconds)

            assertEquals(OrderOutcome.Unknown, outcome(reply.getNow(null)))
        }

        @Test
        fun `report a sidecar that is not connected and a target that does not exist`() {
            val notSent = OrderOutcome.NotSent(NotSentReason.NOT_CONNECTED)
            assertEquals(notSent, outcome(leader.operator(order())))

            val failed = leader.operator(order(target = TargetName("t9")))
            assertEquals(OperatorErrorType.NOT_FOUND, assertIs<OperatorReply.Failed>(failed).type)
        }

        @Test
        fun `refer to the leader`() {
            val follower = CoreFixture(setOf("c2", "c3")).elapse(1.seconds)
            val failed = assertIs<OperatorReply.Failed>(follower.operator(order()))
            assertEquals(OperatorErrorType.NOT_LEADER, failed.type)
        }
    }
}
