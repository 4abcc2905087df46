package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.SendFailure
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.PeerMessage

/** Guards against closing a connection because one worker cycle answers many of its messages. */
class ConnectionSessionTest {
    private var isClosed = false
    private val connection = object : PeerConnection {
        override val remote =
            Hello(ProcessName("entry-1"), DataCenterName("lj"), Incarnation(1))
        override val incoming = Channel<PeerMessage>()

        override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> = Ok(Unit)

        override fun close() {
            isClosed = true
        }
    }

    @Test
    fun `queues as many answers as the worker queues inputs, and no more`() {
        val session = ConnectionSession(connection)

        repeat(4_096) { session.send(LeaseRenewNow(it.toLong())) }
        assertEquals(false, isClosed)
        session.send(LeaseRenewNow(0))
        assertEquals(true, isClosed)
    }

    @Test
    fun `is backlogged until its messages are queued at the connection`() = runTest {
        val session = ConnectionSession(connection)
        repeat(5) { session.send(LeaseRenewNow(it.toLong())) }
        assertTrue(session.isBacklogged)
        val transfer = launch { session.run { } }
        runCurrent()
        assertFalse(session.isBacklogged)
        transfer.cancel()
    }
}
