package org.hibiscusproxy.standins.load

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a workload that is not reproducible or has no multi-turn chats. */
class WorkloadTest {
    private val options = LoadOptions(
        entries = listOf("unused"),
        teams = 4,
        manualTokens = 50,
        chats = 400,
        rate = 100.0,
        durationSeconds = 20.0,
        bookingShare = 0.1,
        streamShare = 0.5,
    )

    private val arrivals = Workload(options).arrivals().toList()
    private val chatTurns = arrivals.filterIsInstance<Arrival.ChatTurn>()

    @Nested
    inner class Arrivals {
        @Test
        fun `are equal for equal seeds and differ for different seeds`() {
            assertEquals(arrivals, Workload(options).arrivals().toList())
            assertTrue(arrivals != Workload(options.copy(seed = 2)).arrivals().toList())
        }

        @Test
        fun `have the configured rate and shares`() {
            assertTrue(arrivals.size in 1_800..2_200, "${arrivals.size} arrivals")
            val bookings = arrivals.size - chatTurns.size
            assertTrue(bookings in 150..250, "$bookings bookings")
            val teams = arrivals.groupingBy { it.team }.eachCount()
            assertTrue(teams.getValue("team-1") > 3 * teams.getValue("team-4"), "$teams")
        }
    }

    @Nested
    inner class Chats {
        @Test
        fun `continue after a pause with the same prefix`() {
            val chats = chatTurns.groupBy { it.chat }
            assertTrue(chats.values.any { it.size == options.chatTurns })
            for (chat in chats.values) {
                assertEquals(chat.indices.toList(), chat.map { it.turn })
                chat.zipWithNext { earlier, later ->
                    assertEquals(earlier.messages, later.messages.take(earlier.messages.size))
                    assertTrue(later.atSeconds - earlier.atSeconds >= options.pauseSeconds)
                }
            }
        }

        @Test
        fun `of a burst all start at the same time`() {
            val burst = Workload(options.copy(burst = 30, bookingShare = 0.0)).arrivals().toList()

            assertEquals(List(30) { 0.0 }, burst.map { it.atSeconds })
        }
    }
}
