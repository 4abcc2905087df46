package org.hibiscusproxy.daemon.testing

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.util.concurrent.CopyOnWriteArrayList
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.ResponseChunk
import org.hibiscusproxy.protocol.ResponseEnd
import org.hibiscusproxy.protocol.ResponseHead

/** Sidecar that responds to dispatches with [answer], which may violate the protocol. */
class FakeSidecar(target: String, private val answer: suspend PeerConnection.(Dispatch) -> Unit) :
    AutoCloseable {
    private val transport = KtorPeerTransport(
        Hello(
            ProcessName("sidecar-$target"),
            TestFleet.NORTH,
            Incarnation(1),
            TargetName(target),
        ),
        FakeController.KEY,
        SimpleMeterRegistry(),
    )
    val received = CopyOnWriteArrayList<PeerMessage>()
    private val listener = runBlocking {
        transport.listen(NetworkAddress("127.0.0.1", 0)) { connection ->
            for (message in connection.incoming) {
                received += message
                if (message is Dispatch) connection.answer(message)
            }
        }
    }
    val address: NetworkAddress get() = listener.address

    override fun close() {
        listener.close()
        transport.close()
    }
}

fun headOf(attempt: Attempt) =
    ResponseHead(attempt, 200, listOf(Header("Content-Type", "text/event-stream")))

fun chunkOf(attempt: Attempt, index: Int, text: String) =
    ResponseChunk(attempt, index, Payload.of(text))

fun endOf(attempt: Attempt, chunks: Int) = ResponseEnd(attempt, chunks, LoadReport())
