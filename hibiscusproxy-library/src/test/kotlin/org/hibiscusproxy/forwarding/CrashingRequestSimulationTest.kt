package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Whole requests that crash each target and come again. More seeds: `-Dcrash.seeds=500`. */
class CrashingRequestSimulationTest {
    private val seeds = Integer.getInteger("crash.seeds", 100)

    @Nested
    inner class `Requests with prompts` {
        @Test
        fun `that crash engines are refused in time with 3 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 3)

        @Test
        fun `that crash engines are refused in time with 6 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 6)

        @Test
        fun `that crash engines are refused in time with 12 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 12)
    }

    @Nested
    inner class `Requests without prompts` {
        @Test
        fun `that crash targets before the answer are refused in time with 3 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 3)

        @Test
        fun `that crash targets before the answer are refused in time with 6 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 6)

        @Test
        fun `that crash targets before the answer are refused in time with 12 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 12)
    }

    private fun assertRefused(kind: CrashSimulation.Kind, engines: Int) {
        var refused = 0
        var late = 0
        val violations = (1..seeds).flatMap { seed ->
            val simulation = CrashSimulation(seed, engines, kind = kind).apply { run() }
            refused += simulation.soundRefused
            late += simulation.soundLate
            simulation.violations.map { "seed $seed: $it" }
        }
        println("$kind, $engines targets: $refused of $late sound requests refused")
        assertEquals("", violations.joinToString("\n"))
    }
}
