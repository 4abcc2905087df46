package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Whole requests that crash each of few targets and come again. More seeds: `-Dcrash.seeds=500`. */
class CrashingRequestFewTargetsTest {
    private val seeds = Integer.getInteger("crash.seeds", 100)

    @Nested
    inner class `Requests with prompts` {
        @Test
        fun `that crash engines are refused in time with 3 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 3)

        @Test
        fun `that crash engines are refused in time with 6 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 6)
    }

    @Nested
    inner class `Requests without prompts` {
        @Test
        fun `that crash targets before the answer are refused in time with 3 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 3)

        @Test
        fun `that crash targets before the answer are refused in time with 6 targets`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 6)
    }

    private fun assertRefused(kind: CrashSimulation.Kind, engines: Int) =
        assertEquals("", CrashSimulation.violations(seeds, engines, kind))
}
