package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/** Guards against refusals while under half of the slots are in use and nothing waits. */
class WrongRefusalTest {
    @Nested
    inner class Shortage {
        @Test
        fun `leaves no half of the slots free`() {
            val wrong = listOf(1.0, 1.2, 1.5, 2.0).flatMap { load ->
                ShortageFixture.SEEDS.map { seed ->
                    val simulation = ShortageFixture.simulation(load, seed)
                    simulation.play(3.seconds)
                    simulation.play(6.seconds)
                    println(simulation.describe("load $load seed $seed"))
                    simulation.wrongRefusals
                }
            }
            assertEquals(0, wrong.sum(), "$wrong")
        }

        @Test
        fun `leaves no half of the slots free with few requests at each forwarder`() {
            val wrong = listOf(1.3, 2.0).flatMap { load ->
                ShortageFixture.SEEDS.map { seed ->
                    val simulation = ShortageFixture.fewRequests(load, seed)
                    simulation.play(24.seconds)
                    println(simulation.describe("few requests at load $load seed $seed"))
                    simulation.wrongRefusals
                }
            }
            assertEquals(0, wrong.sum(), "$wrong")
        }
    }
}
