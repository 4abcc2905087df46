package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Whole requests that crash each of many targets and come again. More seeds: `-Dcrash.seeds=500`. */
class CrashingRequestSimulationTest {
    private val seeds = Integer.getInteger("crash.seeds", 100)

    @Nested
    inner class `Requests with prompts` {
        @Test
        fun `that crash engines are refused in time with 12 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 12)
    }

    @Nested
    inner class `Requests without prompts` {
        @Test
        fun `that crash targets before the answer are refused in time with 12 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 12)
    }

    private fun assertRefused(kind: CrashSimulation.Kind, engines: Int) =
        assertEquals("", CrashSimulation.violations(seeds, engines, kind))
}
