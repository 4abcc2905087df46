package org.hibiscusproxy.daemon.command

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.hibiscusproxy.daemon.testing.FakeController
import org.hibiscusproxy.daemon.testing.RepeatingTarget
import org.junit.jupiter.api.Nested

class OperatorClientTest {
    private val controller = RepeatingTarget()
    private val client = OperatorClient(listOf(controller.address), FakeController.KEY)

    @AfterTest
    fun close() = listOf(client, controller).forEach { it.close() }

    private fun bodyOf(path: String) = assertIs<CallResult.Answered>(client.call("GET", path)).body

    @Nested
    inner class `A call is not answered with the late second answer to the call before` {
        private fun bodies(percentWhileIdle: Int): List<String> {
            val first = bodyOf("/status")
            controller.repeatWhileIdle(percentWhileIdle)
            return listOf(first, bodyOf("/objects"))
        }

        @Test
        fun `if the copy arrives after its request`() =
            assertEquals(listOf("/status", "/objects"), bodies(percentWhileIdle = 0))

        @Test
        fun `if half of the copy arrives before its request`() =
            assertEquals(listOf("/status", "/objects"), bodies(percentWhileIdle = 50))
    }
}
