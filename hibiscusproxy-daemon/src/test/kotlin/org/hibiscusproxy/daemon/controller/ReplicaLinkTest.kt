package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.transport.ConnectFailure
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

class ReplicaLinkTest {
    /** Throws at the first attempt, and refuses the later ones. */
    private class ThrowingTransport(private val failure: Exception) : PeerTransport {
        var attempts = 0

        override suspend fun connect(
            address: NetworkAddress,
        ): Result<PeerConnection, ConnectFailure> {
            attempts += 1
            if (attempts == 1) throw failure
            return Err(ConnectFailure.Unreachable(address, "refused"))
        }

        override suspend fun listen(
            address: NetworkAddress,
            handle: suspend (PeerConnection) -> Unit,
        ) = AutoCloseable { }
    }

    @Nested
    inner class `A link to another controller` {
        @Test
        fun `is opened again after an exception`() = runTest {
            val transport = ThrowingTransport(IllegalStateException("unexpected frame"))
            val address = NetworkAddress("127.0.0.1", 7_000)
            ReplicaLink(ControllerAddress(ProcessName("$address"), address), transport)
                .start(backgroundScope)
            advanceTimeBy(2.seconds)
            assertTrue(transport.attempts > 2, "${transport.attempts} attempts")
        }
    }
}
