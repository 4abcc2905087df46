package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Whole requests that come four times at once and crash each target, whose end entries notice up to
 * a second late. Leaders and entries restart meanwhile. More seeds: `-Dcrash.seeds=500`.
 */
class CrashingRequestCopiesTest {
    private val seeds = Integer.getInteger("crash.seeds", 100)

    @Nested
    inner class `Requests with prompts` {
        @Test
        fun `that come several times at once are refused in time with 3 engines`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 3, 50..51)

        @Test
        fun `that come several times at once are refused in time with late reports`() =
            assertRefused(CrashSimulation.Kind.REQUESTS_WITH_PROMPTS, 6, 0..1_000)
    }

    @Nested
    inner class `Requests without prompts` {
        @Test
        fun `that come several times at once are refused in time with late reports`() =
            assertRefused(CrashSimulation.Kind.PLAIN_REQUESTS, 6, 0..1_000)
    }

    private fun assertRefused(kind: CrashSimulation.Kind, engines: Int, reports: IntRange) =
        assertEquals("", CrashSimulation.violations(seeds, engines, kind, copies = 4, reports))
}
