package org.hibiscusproxy.daemon.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.protocol.ListTimes
import org.hibiscusproxy.protocol.TargetList
import org.junit.jupiter.api.Nested

/**
 * Lists that a controller read before the one in use and delivers after it: because its read took
 * long, it was stopped, or it can no longer read the platform's list and sends the last one again.
 */
class OlderTargetListTest {
    private val forwarder = SimulatedForwarder().also { it.publishRouting() }
    private val first = forwarder.clock("c1")
    private val second = forwarder.clock("c2")
    private val target = SimulatedForwarder.target(0)
    private var elapsed = Duration.ZERO
    private var requests = 0

    private fun elapse(duration: Duration) {
        forwarder.elapse(duration)
        elapsed += duration
    }

    /** Delivers a list that the first controller read now. */
    private fun receiveFresh(vararg targets: DiscoveredTarget) =
        forwarder.receive(list(targets.toList(), age = Duration.ZERO), first)

    /** Delivers a list that the second controller read [age] ago. */
    private fun receiveLate(age: Duration, vararg targets: DiscoveredTarget) =
        forwarder.receive(list(targets.toList(), age), second)

    private fun list(targets: List<DiscoveredTarget>, age: Duration): TargetList {
        val sentAt = elapsed.inWholeMilliseconds
        val times = ListTimes(sentAt - age.inWholeMilliseconds, sentAt)
        return TargetList(targets, SimulatedForwarder.VERSIONS, times)
    }

    /** Addresses to which the forwarder connects for a request. */
    private fun addresses(): List<NetworkAddress> {
        requests += 1
        forwarder.connectCaller().send("r$requests", RequestKind.UNSAFE)
        elapse(10.milliseconds)
        val addresses = forwarder.connecting.map { it.address }
        forwarder.establishAll()
        return addresses
    }

    @Nested
    inner class `An older list` {
        /** Guards against requests that wait for targets which a newer list names. */
        @Test
        fun `does not remove a target`() {
            elapse(5.seconds)
            receiveFresh(target)
            receiveLate(900.milliseconds)
            assertEquals(listOf(target.address), addresses())
        }

        /** Guards against requests at a target that a newer list named as leaving. */
        @Test
        fun `does not make a leaving target ready`() {
            elapse(5.seconds)
            receiveFresh(target.copy(isLeaving = true))
            receiveLate(900.milliseconds, target)
            assertEquals(emptyList(), addresses())
        }

        /** Guards against requests at a target that has gone. */
        @Test
        fun `does not bring back a target`() {
            elapse(5.seconds)
            val staying = SimulatedForwarder.target(1)
            receiveFresh(staying)
            receiveLate(900.milliseconds, target)
            assertEquals(listOf(staying.address), addresses())
        }

        /** Guards against requests at the address of an earlier incarnation. */
        @Test
        fun `does not bring back an earlier incarnation`() {
            elapse(5.seconds)
            val next = target.copy(address = SimulatedForwarder.target(1).address, startedAt = 2)
            receiveFresh(next)
            receiveLate(900.milliseconds, target.copy(startedAt = 1))
            assertEquals(listOf(next.address), addresses())
        }

        /** Guards against a controller without the platform, which sends its last list on. */
        @Test
        fun `does not count when it is sent again long after`() {
            elapse(20.seconds)
            receiveFresh(target)
            repeat(5) {
                elapse(1.seconds)
                receiveLate(15.seconds)
            }
            assertEquals(listOf(target.address), addresses())
        }

        @Test
        fun `counts where no newer one is known`() {
            elapse(20.seconds)
            receiveLate(15.seconds, target)
            assertEquals(listOf(target.address), addresses())
        }
    }
}
