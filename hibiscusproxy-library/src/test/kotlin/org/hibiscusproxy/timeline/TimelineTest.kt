package org.hibiscusproxy.timeline

import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.RequestIdentifier
import org.junit.jupiter.api.Nested

/** Guards against a timeline with effects before their causes. */
class TimelineTest {
    private val attempt = Attempt(RequestIdentifier("r1"), 1)
    private val target = TargetName("t1")

    @Nested
    inner class Merging {
        @Test
        fun `orders by time and keeps the order of each process`() {
            val merged = Timeline.merge(
                listOf(
                    record("b", 0, 20, FleetEvent.VersionEffective(1)),
                    record("a", 1, 5, FleetEvent.VersionEffective(2)),
                    record("a", 0, 10, FleetEvent.VersionEffective(1)),
                ),
            )

            assertEquals(listOf("a/0", "a/1", "b/0"), merged.map { "${it.process}/${it.sequence}" })
        }

        @Test
        fun `shows a dispatch before its start when the sidecar's clock is behind`() {
            val merged = Timeline.merge(
                listOf(
                    record("sidecar", 0, 90, FleetEvent.AttemptStarted(attempt, target)),
                    record("entry", 0, 100, FleetEvent.AttemptDispatched(attempt, target)),
                ),
            )

            assertEquals(listOf("entry", "sidecar"), merged.map { it.process.value })
        }

        @Test
        fun `keeps a start whose dispatch was lost`() {
            val start = record("sidecar", 0, 90, FleetEvent.AttemptStarted(attempt, target))

            assertEquals(listOf(start), Timeline.merge(listOf(start)))
        }
    }

    private fun record(process: String, sequence: Long, time: Long, event: FleetEvent) =
        TimelineRecord(ProcessName(process), Incarnation(1), sequence, time, event)
}
