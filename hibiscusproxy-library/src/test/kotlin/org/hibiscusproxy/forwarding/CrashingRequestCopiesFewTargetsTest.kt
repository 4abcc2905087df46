package org.hibiscusproxy.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Whole requests without prompts that come four times at once and crash each of few targets. More
 * seeds: `-Dcrash.seeds=500`.
 */
class CrashingRequestCopiesFewTargetsTest {
    private val seeds = Integer.getInteger("crash.seeds", 100)

    @Nested
    inner class Requests {
        @Test
        fun `that come several times at once are refused in time with 3 targets`() {
            val kind = CrashSimulation.Kind.PLAIN_REQUESTS
            assertEquals("", CrashSimulation.violations(seeds, 3, kind, copies = 4))
        }
    }
}
