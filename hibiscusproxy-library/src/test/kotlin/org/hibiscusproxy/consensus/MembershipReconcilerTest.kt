package org.hibiscusproxy.consensus

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

class MembershipReconcilerTest {
    private val time = TestTimeSource()
    private val start = time.markNow()
    private val reconciler = MembershipReconciler(minimumVoters = 3, unreachableLimit = 10.seconds)

    private class View(
        voters: Map<String, Long>,
        nonVoters: Map<String, Long> = emptyMap(),
        unknownIdentities: Map<String, Long> = emptyMap(),
        private val contacts: Map<String, ComparableTimeMark> = emptyMap(),
        private val refused: Set<MembershipChange> = emptySet(),
    ) : MemberView {
        override val membership = Membership(
            voters.map { (name, identity) -> ProcessName(name) to Member(identity, true) }.toMap() +
                nonVoters.map { (name, identity) -> ProcessName(name) to Member(identity, false) },
        )
        override val unknownIdentities = unknownIdentities.mapKeys { ProcessName(it.key) }

        override fun lastContact(process: ProcessName) = contacts[process.value]

        override fun isPossible(change: MembershipChange) = change !in refused
    }

    private val three = mapOf("a" to 1L, "b" to 2L, "c" to 3L)

    @Nested
    inner class UnknownIdentities {
        @Test
        fun `with a new name are added as non-voters`() {
            val view = View(three, unknownIdentities = mapOf("d" to 4L))
            val expected = MembershipChange.AddNonVoter(ProcessName("d"), 4)
            assertEquals(expected, reconciler.next(view, start))
        }

        @Test
        fun `with a member's name have lost their disk, so that their old identity goes first`() {
            val view = View(three, unknownIdentities = mapOf("c" to 9L))
            assertEquals(MembershipChange.Remove(ProcessName("c")), reconciler.next(view, start))
        }

        @Test
        fun `wait while their change is not possible`() {
            val add = MembershipChange.AddNonVoter(ProcessName("d"), 4)
            val view = View(three, unknownIdentities = mapOf("d" to 4L), refused = setOf(add))
            assertNull(reconciler.next(view, start))
        }
    }

    @Nested
    inner class NonVoters {
        @Test
        fun `are promoted as soon as they have caught up`() {
            val promote = MembershipChange.Promote(ProcessName("d"))
            val late = View(three, mapOf("d" to 4L), refused = setOf(promote))
            assertNull(reconciler.next(late, start))
            assertEquals(promote, reconciler.next(View(three, mapOf("d" to 4L)), start))
        }

        @Test
        fun `that were just added are not silent, however long the leader has led`() {
            time += 60.seconds
            val contacts = mapOf("d" to time.markNow())
            val promote = MembershipChange.Promote(ProcessName("d"))
            val view = View(three, mapOf("d" to 4L), contacts = contacts, refused = setOf(promote))
            assertNull(reconciler.next(view, time.markNow()))
        }
    }

    @Nested
    inner class SilentVoters {
        private val contacts = mapOf("c" to start)

        @Test
        fun `stay while no others could tolerate a loss in their place`() {
            time += 11.seconds
            assertNull(reconciler.next(View(three, contacts = contacts), time.markNow()))
        }

        @Test
        fun `are removed soon after their successor votes`() {
            time += 1_100.milliseconds
            val view = View(three + ("d" to 4L), contacts = contacts)
            val expected = MembershipChange.Remove(ProcessName("c"))
            assertEquals(expected, reconciler.next(view, time.markNow()))
        }

        @Test
        fun `stay for the limit of surplus voters`() {
            time += 900.milliseconds
            val view = View(three + ("d" to 4L), contacts = contacts)
            assertNull(reconciler.next(view, time.markNow()))
        }

        @Test
        fun `are removed one by one, the longest silent first`() {
            time += 1.seconds
            val both = contacts + ("b" to time.markNow())
            time += 1_100.milliseconds
            val view = View(three + mapOf("d" to 4L, "e" to 5L), contacts = both)
            val expected = MembershipChange.Remove(ProcessName("c"))
            assertEquals(expected, reconciler.next(view, time.markNow()))
        }
    }

    @Nested
    inner class SilentNonVoters {
        @Test
        fun `stay for the limit and are then removed`() {
            val promote = MembershipChange.Promote(ProcessName("d"))
            val contacts = mapOf("d" to start)
            val view = View(three, mapOf("d" to 4L), contacts = contacts, refused = setOf(promote))
            time += 9.seconds
            assertNull(reconciler.next(view, time.markNow()))
            time += 2.seconds
            val expected = MembershipChange.Remove(ProcessName("d"))
            assertEquals(expected, reconciler.next(view, time.markNow()))
        }
    }
}
