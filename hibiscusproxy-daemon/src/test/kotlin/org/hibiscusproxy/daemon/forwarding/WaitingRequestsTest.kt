package org.hibiscusproxy.daemon.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.RequestKind
import org.junit.jupiter.api.Nested

/** Requests that wait for targets while the list becomes empty, is filled and is empty again. */
class WaitingRequestsTest {
    private val forwarder = SimulatedForwarder().also { it.publishRouting() }
    private val callers = LinkedHashMap<String, SimulatedCaller>()

    private fun send(identifier: String) {
        val caller = forwarder.connectCaller()
        callers[identifier] = caller
        caller.send(identifier, RequestKind.UNSAFE)
        forwarder.turn()
    }

    /** Lists targets, and none again before the requests that wait have been started. */
    private fun listForAMoment() {
        forwarder.listTargets(1)
        forwarder.listTargets(0)
        forwarder.elapse(100.milliseconds)
    }

    /** Statuses of the answers that callers have got. */
    private fun statuses(): Map<String, Int> = buildMap {
        callers.forEach { (identifier, caller) ->
            caller.takeParts().filterIsInstance<AnswerPart.Head>().forEach {
                put(identifier, it.status)
            }
        }
    }

    @Nested
    inner class Requests {
        /** Guards against the timer of an earlier wait, which refused requests that a target ran. */
        @Test
        fun `that wait again are not refused after a target received them`() {
            repeat(3) { send("r$it") }
            listForAMoment()
            forwarder.listTargets(1)
            forwarder.elapse(100.milliseconds)
            assertEquals(listOf("r0", "r1", "r2"), forwarder.establishAll())
            forwarder.elapse(4.seconds)
            assertEquals(emptyMap(), statuses(), "answered while a target runs them")
            forwarder.elapse(3.seconds)
            assertEquals(mapOf("r0" to 504, "r1" to 504, "r2" to 504), statuses())
        }

        /** Guards against requests that went behind later ones each time the list was empty. */
        @Test
        fun `that wait again keep their place`() {
            repeat(20) { send("r$it") }
            listForAMoment()
            forwarder.listTargets(1)
            forwarder.elapse(100.milliseconds)
            assertEquals(List(20) { "r$it" }, forwarder.establishAll())
        }

        /** Guards against a wait that begins anew each time the list is empty. */
        @Test
        fun `that wait again wait no longer than others`() {
            send("r0")
            forwarder.elapse(2.seconds)
            repeat(3) { listForAMoment() }
            forwarder.elapse(150.milliseconds)
            assertEquals(emptyMap(), statuses())
            forwarder.elapse(60.milliseconds)
            assertEquals(mapOf("r0" to 503), statuses())
        }

        /** Guards against the start of a request that a shutdown has refused as not run. */
        @Test
        fun `that were refused before they started reach no target`() {
            forwarder.listTargets(1)
            val caller = forwarder.connectCaller()
            caller.send("r0", RequestKind.UNSAFE)
            forwarder.node.admission.connections.toList().forEach { it.endRequest() }
            assertEquals(503, (caller.takeParts().first() as AnswerPart.Head).status)
            forwarder.turn()
            assertEquals(emptyList(), forwarder.establishAll())
        }

        /** Guards against an unknown result of a request that no target can have run. */
        @Test
        fun `that were not sent by their timeout are answered as not run`() {
            forwarder.listTargets(1)
            send("r0")
            forwarder.elapse(SimulatedForwarder.TIMEOUT + 200.milliseconds)
            val head = callers.getValue("r0").takeParts().first()
            assertEquals(AnswerPart.Head(504, "not-run"), head)
        }
    }
}
