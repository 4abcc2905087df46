package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Three engines that need seconds to restart, so that at times no request is served at all. */
class CrashOutageSimulationTest {
    @Nested
    inner class Parts {
        @Test
        fun `that crash all engines are refused in time and sound ones are not`() {
            val violations = (1..SEEDS).flatMap { seed ->
                val simulation = CrashSimulation(seed, engines = 3, 4_000..7_500).apply { run() }
                simulation.violations.map { "seed $seed: $it" }
            }
            assertEquals("", violations.joinToString("\n"))
        }
    }

    private companion object {
        const val SEEDS = 200
    }
}
