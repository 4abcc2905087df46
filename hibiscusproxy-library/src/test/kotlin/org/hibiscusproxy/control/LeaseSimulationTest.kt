package org.hibiscusproxy.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a sidecar that acts on an old state after the instant reported to an operator. */
class LeaseSimulationTest {
    @Test
    fun `no sidecar acts on an old state after the reported instant in 100 seeded runs`() {
        var admissions = 0
        var futureAnswers = 0
        for (seed in 1..100) {
            val simulation = LeaseSimulation(seed, LeaseSettings())
            simulation.run(60.seconds)
            assertEquals(emptyList(), simulation.violations.take(3), "seed $seed")
            admissions += simulation.admissions
            futureAnswers += simulation.futureAnswers
        }
        assertTrue(admissions > 100_000, "too few steps with a valid lease: $admissions")
        assertTrue(futureAnswers > 5_000, "too few answers with a future instant: $futureAnswers")
    }
}
