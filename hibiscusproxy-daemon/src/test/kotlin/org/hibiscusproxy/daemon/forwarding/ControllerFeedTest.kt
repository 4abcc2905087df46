package org.hibiscusproxy.daemon.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.daemon.transport.ConnectFailure
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName

class ControllerFeedTest {
    private val controller = ProcessName("127.0.0.1:7000")

    /** Refuses all connections, like an instance without a listener. */
    private class RefusingTransport : PeerTransport {
        var attempts = 0

        override suspend fun connect(
            address: NetworkAddress,
        ): Result<PeerConnection, ConnectFailure> {
            attempts += 1
            return Err(ConnectFailure.Unreachable(address, "refused"))
        }

        override suspend fun listen(
            address: NetworkAddress,
            handle: suspend (PeerConnection) -> Unit,
        ) = AutoCloseable { }
    }

    private fun attemptsInTwoSeconds(knownRevision: Long): Int {
        val transport = RefusingTransport()
        runTest {
            val feed = ControllerFeed(
                listOf(controller),
                null,
                transport,
                backgroundScope,
                { knownRevision },
                { },
            )
            feed.start()
            advanceTimeBy(2.seconds)
        }
        return transport.attempts
    }

    @Test
    fun `retries a controller at short intervals until routing is received`() {
        val attempts = attemptsInTwoSeconds(knownRevision = 0)
        assertTrue(attempts in 20..42, "$attempts attempts")
    }

    @Test
    fun `retries a lost controller less often once routing is received`() {
        val attempts = attemptsInTwoSeconds(knownRevision = 1)
        assertTrue(attempts in 4..9, "$attempts attempts")
    }
}
