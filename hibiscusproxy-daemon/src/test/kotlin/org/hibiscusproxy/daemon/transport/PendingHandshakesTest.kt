package org.hibiscusproxy.daemon.transport

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against unauthenticated connections without bound, and against a listener they block. */
class PendingHandshakesTest {
    private val closed = ArrayList<String>()

    private fun connection(name: String) = AutoCloseable { closed += name }

    @Test
    fun `the oldest connection is closed for a new one`() {
        val pending = PendingHandshakes<AutoCloseable>(maximum = 2)
        assertFalse(pending.add(connection("first")))
        assertFalse(pending.add(connection("second")))
        assertTrue(pending.add(connection("third")))
        assertEquals(listOf("first"), closed)
    }

    @Test
    fun `a connection that has authenticated stays open`() {
        val pending = PendingHandshakes<AutoCloseable>(maximum = 1)
        val authenticated = connection("first")
        pending.add(authenticated)
        pending.remove(authenticated)
        pending.add(connection("second"))
        assertEquals(emptyList(), closed)
    }
}
