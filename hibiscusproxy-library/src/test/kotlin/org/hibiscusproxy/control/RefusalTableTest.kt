package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.protocol.Fingerprint
import org.junit.jupiter.api.Nested

/** Guards against refusals that are lost, never end, or cover more requests than they should. */
class RefusalTableTest {
    private var state = ControlState()
    private var index = 0L
    private val part = Fingerprint(1)
    private val other = Fingerprint(2)

    private fun run(command: ControlCommand) {
        index += 1
        state.apply(index, ControlCodec.encode(command))
    }

    private fun refuse(at: Duration, vararg causes: Set<Fingerprint>) =
        run(RefuseRequests(causes.toList(), FleetInstant.ZERO + at))

    private fun refused(at: Duration): Map<Set<Fingerprint>, Duration> =
        state.refusals(FleetInstant.ZERO + at).associate { it.fingerprints to it.remaining }

    @Nested
    inner class Refusals {
        @Test
        fun `end by themselves and take twice as long the next time`() {
            refuse(0.seconds, setOf(part))
            assertEquals(mapOf(setOf(part) to 1.minutes), refused(9.minutes))
            assertEquals(emptyMap(), refused(10.minutes))
            refuse(12.minutes, setOf(part))
            assertEquals(mapOf(setOf(part) to 20.minutes), refused(12.minutes))
        }

        @Test
        fun `in force are not extended by a repeated command`() {
            refuse(0.seconds, setOf(part))
            refuse(1.seconds, setOf(part))
            assertEquals(emptyMap(), refused(10.minutes))
        }

        @Test
        fun `of more requests replace those of fewer`() {
            refuse(0.seconds, setOf(part, other))
            refuse(1.seconds, setOf(part))
            assertEquals(setOf(setOf(part)), refused(2.seconds).keys)
        }

        @Test
        fun `are forgotten some time after their end`() {
            refuse(0.seconds, setOf(part))
            run(Expire(FleetInstant.ZERO + 19.minutes))
            assertEquals(setOf(setOf(part)), state.knownCrashCauses)
            run(Expire(FleetInstant.ZERO + 20.minutes))
            assertEquals(emptySet(), state.knownCrashCauses)
        }

        @Test
        fun `are part of a snapshot`() {
            refuse(5.seconds, setOf(part, other))
            val snapshot = state.snapshot()
            state = ControlState().apply { restore(snapshot) }
            assertEquals(mapOf(setOf(part, other) to 9.minutes), refused(65.seconds))
        }
    }
}
