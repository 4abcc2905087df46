package org.hibiscusproxy.daemon.process

import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

class FailureHandlerTest {
    private val end = EndRequest()
    private val halts = mutableListOf<EndCause>()
    private val failure = IllegalStateException("fault of the test")

    private fun handler(hasOneRole: Boolean) = FailureHandler(end, hasOneRole) { halts += it }

    /** Guards against requests of other roles that end with the process of a failed controller. */
    @Nested
    inner class `The failure of a role` {
        @Test
        fun `beside others requests an end, so that the others drain`() {
            handler(hasOneRole = false).onRoleFailure(failure)
            assertIs<EndCause.RoleFailed>(end.cause)
            assertEquals(emptyList(), halts)
        }

        @Test
        fun `that is alone ends the process at once`() {
            handler(hasOneRole = true).onRoleFailure(failure)
            assertEquals(listOf<EndCause>(EndCause.RoleFailed(failure)), halts)
        }
    }

    /** Guards against processes that go on without a thread that others wait for. */
    @Nested
    inner class `What a thread does not catch` {
        private fun failIn(thrown: Throwable) = thread(start = false) { throw thrown }.apply {
            uncaughtExceptionHandler = handler(hasOneRole = false)
            start()
            join()
        }

        @Test
        fun `requests an end if it is a lack of memory`() {
            failIn(OutOfMemoryError("fault of the test"))
            assertIs<EndCause.Uncaught>(end.cause)
        }

        @Test
        fun `is logged only if it is an exception`() {
            failIn(failure)
            assertNull(end.cause)
        }
    }
}
