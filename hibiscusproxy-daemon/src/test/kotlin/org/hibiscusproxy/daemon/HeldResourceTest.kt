package org.hibiscusproxy.daemon

import java.net.BindException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.hibiscusproxy.model.NetworkAddress
import org.junit.jupiter.api.Nested

class HeldResourceTest {
    private val address = NetworkAddress("127.0.0.1", 1)

    @Nested
    inner class `A listener's address` {
        @Test
        fun `that stays in use fails after a bounded time`() = runTest {
            val startedAt = testTimeSource.markNow()
            assertFailsWith<BindException> {
                openListener("test", address, testTimeSource) { throw BindException("in use") }
            }
            assertTrue(startedAt.elapsedNow() in HELD_LIMIT..HELD_LIMIT + 1.seconds)
        }

        @Test
        fun `that is released is opened soon`() = runTest {
            val startedAt = testTimeSource.markNow()
            val opened = openListener("test", address, testTimeSource) {
                if (startedAt.elapsedNow() < 1.seconds) throw BindException("in use") else "opened"
            }
            assertEquals("opened", opened)
            assertTrue(startedAt.elapsedNow() < 2.seconds)
        }

        @Test
        fun `that cannot be used for another cause fails at once`() = runTest {
            val startedAt = testTimeSource.markNow()
            assertFailsWith<IllegalStateException> {
                openListener("test", address, testTimeSource) { error("broken") }
            }
            assertEquals(Duration.ZERO, startedAt.elapsedNow())
        }
    }
}
