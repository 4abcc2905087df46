package org.hibiscusproxy.daemon.forwarding

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested

/** Guards against kept connections of a target without power that take one request each. */
class StallDetectorTest {
    private val fixture = ForwarderFixture()
    private val end = CountDownLatch(1)
    private val warmUp = CountDownLatch(KEPT_CONNECTIONS)

    @Volatile
    private var isSilent = false
    private val silent: RecordingTarget = RecordingTarget { request, socket ->
        if (request.identifier.startsWith("warm")) {
            warmUp.countDown()
            warmUp.await(5, TimeUnit.SECONDS)
        }
        if (isSilent) end.await(20, TimeUnit.SECONDS) else socket.respond(request, extra = KEPT)
    }

    @AfterEach
    fun close() {
        end.countDown()
        fixture.close()
        silent.close()
    }

    @Nested
    inner class `A target that accepts no connections any more and is silent` {
        @Test
        fun `gets no further request on its idle connections`() {
            val targets = mapOf(ServiceName("orders") to listOf(silent.address))
            fixture.route(RequestKind.UNSAFE, targets)
            val warm = List(KEPT_CONNECTIONS) { thread { fixture.exchange("warm-$it") } }
            warm.forEach { it.join() }
            isSilent = true
            silent.close()
            fixture.exchange("lost", deadline = 1_500)
            val later = fixture.exchange("later", deadline = 1_500)
            assertContains(later, "503")
            assertEquals(0, silent.requests.count { it.identifier == "later" })
        }
    }

    private companion object {
        const val KEPT_CONNECTIONS = 4
        const val KEPT = "Keep-Alive: timeout=30\r\n"
    }
}
