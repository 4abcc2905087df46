package org.hibiscusproxy.placement

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Checks the placement goals in short simulations. With `-Dhibiscusproxy.experiment=full` it also
 * prints the tables of `docs/placement.md`.
 */
class PlacementExperimentTest {
    private val policy = PlacementExperiment.policy(PlacementPolicies.DEFAULT)

    private fun run(fleet: ExperimentFleet, situation: String, minutes: Int) =
        PlacementExperiment.run(policy, fleet, situation, minutes)

    @Nested
    inner class Targets {
        @Test
        fun `steady chats find nine tenths of what one large cache would hold`() {
            for (fleet in listOf(PlacementExperiment.SKUPAJ, PlacementExperiment.VOLTA)) {
                val figures = run(fleet, "steady", minutes = 10)
                assertTrue(figures.reuse >= 0.9, figures.row(fleet.name))
                assertEquals(0, figures.refused, figures.row(fleet.name))
            }
        }

        @Test
        fun `churn of one engine leaves eight tenths and overloads no cold engine`() {
            val figures = run(PlacementExperiment.SKUPAJ, "churn", minutes = 16)

            assertTrue(figures.reuse >= 0.8, figures.row("churn"))
            assertEquals(0, figures.coldOverloads, figures.row("churn"))
        }

        @Test
        fun `a small team at ten times its load leaves the others within one and a half times`() {
            val figures = run(PlacementExperiment.SKUPAJ, "burst", minutes = 16)

            assertTrue(figures.burstFactor <= 1.5, figures.row("burst"))
        }
    }

    @Nested
    inner class Tables {
        @Test
        fun `prints all tables when asked to`() {
            if (System.getProperty("hibiscusproxy.experiment") == "full") {
                PlacementExperiment.main(emptyArray())
            }
        }
    }
}
