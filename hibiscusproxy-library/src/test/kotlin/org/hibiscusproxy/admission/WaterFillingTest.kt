package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.hibiscusproxy.model.TeamName
import org.junit.jupiter.api.Nested

/** Guards against a division that starves a class, breaks the order or wastes capacity. */
class WaterFillingTest {
    private fun key(rank: Int, team: String = "a") = RequestClass(rank, TeamName(team))

    private fun Map<RequestClass, Double>.admitted(demand: Map<RequestClass, Double>) =
        demand.entries.sumOf { (key, perSecond) -> getValue(key) * perSecond }

    @Nested
    inner class Shares {
        @Test
        fun `are whole while there is room`() {
            val demand = mapOf(key(0) to 40.0, key(1) to 60.0)
            assertEquals(setOf(1.0), WaterFilling.shares(100.0, demand).values.toSet())
        }

        @Test
        fun `use up the capacity in the order of the ranks`() {
            val demand = mapOf(key(0) to 50.0, key(1) to 100.0, key(2) to 50.0)
            val shares = WaterFilling.shares(100.0, demand)
            assertEquals(100.0, shares.admitted(demand), 0.01)
            assertEquals(1.0, shares.getValue(key(0)))
            assertTrue(shares.getValue(key(1)) > shares.getValue(key(2)), "$shares")
        }

        @Test
        fun `of teams with a small demand are whole at the rank that is cut`() {
            val demand = mapOf(key(0, "large") to 300.0, key(0, "b") to 20.0, key(0, "c") to 30.0)
            val shares = WaterFilling.shares(150.0, demand)
            assertEquals(1.0, shares.getValue(key(0, "b")))
            assertEquals(1.0, shares.getValue(key(0, "c")))
            assertEquals(1.0 / 3, shares.getValue(key(0, "large")), 0.01)
        }

        @Test
        fun `of every class are at least a quarter of the mean`() {
            val demand = mapOf(key(0) to 900.0, key(1, "b") to 5.0, key(2, "c") to 95.0)
            val shares = WaterFilling.shares(100.0, demand)
            assertEquals(100.0, shares.admitted(demand), 0.01)
            assertTrue(shares.values.min() >= 0.25 * 100 / 1_000, "$shares")
        }
    }
}
