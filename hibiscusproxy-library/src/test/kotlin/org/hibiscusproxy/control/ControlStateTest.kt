package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.control.ControlFixture.change
import org.hibiscusproxy.control.ControlFixture.dataCenter
import org.hibiscusproxy.control.ControlFixture.lj
import org.hibiscusproxy.control.ControlFixture.mb
import org.hibiscusproxy.control.ControlFixture.objects
import org.hibiscusproxy.control.ControlFixture.publish
import org.hibiscusproxy.control.ControlFixture.run
import org.hibiscusproxy.control.ControlFixture.target
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ObjectKind
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.OperationalState.IN
import org.hibiscusproxy.model.OperationalState.OUT
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.junit.jupiter.api.Nested

/** Guards against changes that are lost, applied twice or undone, and reused fencing numbers. */
class ControlStateTest {
    private val state = ControlState()
    private val t1 = TargetName("t1")

    private fun setTarget(
        change: String,
        state: OperationalState,
        source: StateSource = StateSource.OPERATOR,
    ) = ChangeCommand.SetTargetState(ChangeIdentifier(change), t1, state, FleetInstant.ZERO, source)

    @Nested
    inner class Publishing {
        @Test
        fun `gives a resend the original outcome after later changes`() {
            assertEquals(ChangeOutcome.Accepted(1), state.change(publish("a", basedOn = 0)))
            assertEquals(ChangeOutcome.Accepted(2), state.change(dataCenter("b", lj, OUT)))

            assertEquals(ChangeOutcome.Accepted(1), state.change(publish("a", basedOn = 0, at = 7)))
        }

        @Test
        fun `accepts exactly one of several changes based on the same version`() {
            state.change(publish("a", basedOn = 0))
            val fewer = objects.copy(targets = objects.targets.take(1))

            assertEquals(ChangeOutcome.Accepted(2), state.change(publish("b", 1, fewer)))
            assertEquals(ChangeOutcome.Conflict(1, 2), state.change(publish("c", 1)))
            assertEquals(ChangeOutcome.Conflict(1, 2), state.change(publish("c", 1)))
            assertEquals(fewer, state.fleet.objects)
        }

        @Test
        fun `refuses an identifier that was used for other content`() {
            state.change(publish("a", basedOn = 0))

            val outcome = state.change(dataCenter("a", lj, OUT))

            assertEquals(ChangeOutcome.IdentifierReused(ChangeIdentifier("a")), outcome)
        }

        @Test
        fun `does not return a data centre that was taken out`() {
            state.change(publish("a", basedOn = 0))
            state.change(dataCenter("b", lj, OUT))

            val fewer = objects.copy(targets = objects.targets.take(2))
            assertEquals(ChangeOutcome.Accepted(3), state.change(publish("c", basedOn = 1, fewer)))
            assertEquals(setOf(lj), state.fleet.dataCentersOut)
        }

        @Test
        fun `refuses objects that are not consistent`() {
            val outcome = state.change(publish("a", 0, objects.copy(services = emptyList())))

            assertEquals(3, (outcome as ChangeOutcome.Invalid).faults.size)
            assertEquals(0, state.fleet.version)
        }
    }

    @Nested
    inner class States {
        @Test
        fun `keep their version when a change has no effect`() {
            state.change(publish("a", basedOn = 0))

            assertEquals(ChangeOutcome.Accepted(2), state.change(dataCenter("b", lj, OUT)))
            assertEquals(ChangeOutcome.Accepted(3), state.change(dataCenter("c", mb, OUT)))
            assertEquals(ChangeOutcome.Accepted(2), state.change(dataCenter("d", lj, OUT)))
        }

        @Test
        fun `conflict when based on a version before another change of the same part`() {
            state.change(publish("a", basedOn = 0))
            state.change(dataCenter("b", lj, OUT))
            state.change(dataCenter("c", lj, IN))

            val late = dataCenter("d", lj, OUT).copy(basedOn = 2)
            assertEquals(ChangeOutcome.Conflict(2, 3), state.change(late))
        }

        @Test
        fun `of an unknown object are refused with its kind and name`() {
            val outcome = state.change(dataCenter("a", DataCenterName("kp"), OUT))

            assertEquals(ChangeOutcome.UnknownObject(ObjectKind.DATA_CENTER, "kp"), outcome)
        }

        @Test
        fun `set by operators are not undone by the platform's list`() {
            state.change(publish("a", basedOn = 0))
            state.change(setTarget("b", OUT))
            state.change(setTarget("c", OUT, StateSource.PLATFORM))

            state.change(setTarget("d", IN, StateSource.PLATFORM))
            assertEquals(setOf(t1), state.fleet.targetsOut)
            state.change(setTarget("e", IN))
            assertEquals(emptySet(), state.fleet.targetsOut)
        }
    }

    @Nested
    inner class FencingNumbers {
        private fun allocate(incarnation: Long, target: TargetName = t1) =
            state.run(AllocateFencingNumber(target, Incarnation(incarnation), FleetInstant.ZERO))

        @Test
        fun `increase with each incarnation and never decrease`() {
            state.change(publish("a", basedOn = 0))

            assertEquals(ControlResult.FencingNumber(1), allocate(10))
            assertEquals(ControlResult.FencingNumber(1), allocate(10))
            assertEquals(ControlResult.FencingNumber(2), allocate(20))
            assertEquals(ControlResult.OldIncarnation, allocate(10))
        }

        @Test
        fun `are not reused when a target is removed and added again`() {
            state.change(publish("a", basedOn = 0))
            allocate(10)
            state.change(publish("b", 1, objects.copy(targets = listOf(target(2, lj)))))
            assertEquals(ControlResult.UnknownTarget, allocate(10))
            state.change(publish("c", 2))

            assertEquals(ControlResult.FencingNumber(2), allocate(10))
        }
    }

    @Nested
    inner class Crashes {
        private val poison = Fingerprint(1)
        private val harmless = Fingerprint(2)

        private fun crash(target: String, at: Long, fingerprints: List<Fingerprint>) =
            state.run(RecordCrash(TargetName(target), fingerprints, FleetInstant(at)))

        @Test
        fun `at two targets refuse a fingerprint, repeated reports of one crash do not`() {
            crash("t1", 0, listOf(poison, harmless))
            crash("t1", 10, listOf(poison, harmless))
            assertEquals(emptyMap(), state.refusedFingerprints(FleetInstant(10)))

            crash("t2", 1_000, listOf(poison))
            assertEquals(
                mapOf(poison to 10.minutes - 4.seconds),
                state.refusedFingerprints(FleetInstant(5_000)),
            )
        }

        @Test
        fun `expire after their retention`() {
            crash("t1", 0, listOf(poison))
            crash("t2", 600_000, listOf(poison))

            assertEquals(emptyMap(), state.refusedFingerprints(FleetInstant(600_000)))
        }
    }

    @Nested
    inner class Snapshots {
        @Test
        fun `restore the whole state`() {
            state.change(publish("a", basedOn = 0))
            state.change(dataCenter("b", lj, OUT))
            state.change(setTarget("c", OUT, StateSource.PLATFORM))
            state.run(AllocateFencingNumber(t1, Incarnation(10), FleetInstant(5)))
            state.run(RecordCrash(t1, listOf(Fingerprint(1)), FleetInstant(6)))
            ClaimFixture.fillClaims(state)

            val copy = ControlState()
            copy.change(publish("z", basedOn = 0))
            copy.restore(state.snapshot())

            assertEquals(state.snapshot(), copy.snapshot())
            assertEquals(state.fleet, copy.fleet)
            assertEquals(ChangeOutcome.Accepted(2), copy.change(dataCenter("b", lj, OUT)))
            assertEquals(1, copy.fencingNumber(t1, Incarnation(10)))
        }
    }
}
