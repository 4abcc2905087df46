package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.sockets.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.PeerMessage

/**
 * Connection over a Ktor socket: one coroutine reads frames, one writes all waiting frames with a
 * single flush, one sends heartbeats and ends the connection after too long a silence. While the
 * receiver of [incoming] is behind, nothing is read, and this does not count as silence.
 */
internal class KtorPeerConnection(
    private val socket: Socket,
    private val liveness: Liveness,
    agreed: Handshake.Agreed,
    private val settings: TransportSettings,
    private val counters: TransportCounters,
    parent: CoroutineScope,
) : PeerConnection {
    override val remote: Hello = agreed.remote

    private val received = Channel<PeerMessage>(settings.incomingMessages)
    override val incoming: ReceiveChannel<PeerMessage> get() = received

    private val outgoing = OutgoingQueue(settings.outgoingBytes)
    private val isClosed = AtomicBoolean()
    private val scope = CoroutineScope(
        parent.coroutineContext + Job(parent.coroutineContext[Job]),
    )

    init {
        scope.launch { closeAfter { readFrames(agreed.reader) } }
        scope.launch { closeAfter { writeFrames(agreed.writer) } }
        settings.heartbeatInterval?.let { interval ->
            scope.launch {
                while (isActive) {
                    delay(interval)
                    watchLiveness()
                }
            }
        }
    }

    override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> {
        val payload = MessageCodec.encode(message)
        if (payload.size > settings.maximumFrameBytes) {
            return Err(SendFailure.MessageTooLarge(payload.size))
        }
        val added = outgoing.add(OutgoingQueue.Frame(payload, message is DataMessage))
        return if (added) Ok(Unit) else Err(SendFailure.ConnectionClosed)
    }

    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        outgoing.close()
        received.close()
        socket.close()
        scope.cancel()
    }

    private suspend fun closeAfter(work: suspend () -> Unit) {
        try {
            work()
        } finally {
            close()
        }
    }

    private suspend fun readFrames(reader: FrameReader) {
        while (true) {
            liveness.startReading()
            val frame = runCatching { reader.next() }.getOrNull() ?: return
            liveness.stopReading()
            when (frame) {
                is ReadFrame.Refused -> return counters.refused(frame.refusal)
                is ReadFrame.Accepted -> if (!deliver(frame.payload)) return
            }
        }
    }

    private suspend fun deliver(payload: ByteArray): Boolean {
        val bytes = payload.size + FRAME_OVERHEAD_BYTES
        if (payload.isEmpty()) {
            counters.received(null, bytes)
            return true
        }
        val message = runCatching { MessageCodec.decode(payload) }.getOrNull()
        if (message == null) {
            counters.refused(FrameRefusal.UNDECODABLE)
            return false
        }
        counters.received(message, bytes)
        return runCatching { received.send(message) }.isSuccess
    }

    private suspend fun writeFrames(writer: FrameWriter) {
        while (true) {
            val frames = outgoing.takeAll() ?: return
            val written = runCatching {
                for (frame in frames) {
                    writer.write(frame.payload)
                    counters.sent(frame.isData, frame.payload.size + FRAME_OVERHEAD_BYTES)
                }
                writer.flush()
            }
            if (written.isFailure) return
            liveness.sent()
        }
    }

    private fun watchLiveness() {
        if (liveness.isSilentFor(settings.silenceLimit)) {
            counters.refused(FrameRefusal.SILENCE)
            close()
            return
        }
        if (!liveness.takeSent()) outgoing.addHeartbeatIfEmpty()
    }
}

/** When bytes last arrived and whether anything was sent. Its fields are volatile, no lock. */
internal class Liveness(private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic) {
    @Volatile
    private var lastProgress = time.markNow()

    @Volatile
    private var isReading = true

    @Volatile
    private var hasSent = false

    fun progress() {
        lastProgress = time.markNow()
    }

    fun startReading() {
        progress()
        isReading = true
    }

    fun stopReading() {
        isReading = false
    }

    fun sent() {
        hasSent = true
    }

    /** Whether something was sent since the last call. */
    fun takeSent(): Boolean = hasSent.also { hasSent = false }

    fun isSilentFor(limit: kotlin.time.Duration): Boolean =
        isReading && lastProgress.elapsedNow() > limit
}
