package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.network.sockets.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
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
 * Connection over a Ktor socket. One coroutine reads frames, one writes all queued frames with a
 * single flush, and one sends heartbeats and closes the connection when the peer is silent for too
 * long. Reading pauses while [incoming] is full; these pauses do not count as silence.
 */
internal class KtorPeerConnection(
    private val socket: Socket,
    private val liveness: LivenessMonitor,
    session: Handshake.Session,
    private val settings: TransportSettings,
    private val counters: TransportCounters,
    private val encoder: MessageEncoder,
    parent: CoroutineScope,
) : PeerConnection {
    override val remote: Hello = session.remote

    private val received = Channel<PeerMessage>(settings.incomingMessages)
    override val incoming: ReceiveChannel<PeerMessage> get() = received

    private val outgoing = OutgoingQueue(settings.outgoingBytes)
    private val isClosed = AtomicBoolean()
    private val scope = CoroutineScope(
        parent.coroutineContext + Job(parent.coroutineContext[Job]),
    )

    init {
        scope.launch { closeWhenDone { readFrames(session.reader) } }
        scope.launch { closeWhenDone { writeFrames(session.writer) } }
        settings.heartbeatInterval?.let { interval ->
            scope.launch {
                while (isActive) {
                    delay(interval)
                    checkLiveness()
                }
            }
        }
    }

    override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> {
        val payload = encoder.encode(message)
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

    private suspend fun closeWhenDone(work: suspend () -> Unit) {
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
                is FrameReadResult.Refused -> return counters.refused(frame.refusal)
                is FrameReadResult.Accepted -> if (!deliver(frame.payload)) return
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
            liveness.recordSent()
        }
    }

    private fun checkLiveness() {
        if (liveness.isSilentFor(settings.silenceLimit)) {
            counters.refused(FrameRefusal.SILENCE)
            close()
            return
        }
        if (!liveness.getAndResetSent()) outgoing.addHeartbeatIfEmpty()
    }
}

/** Tracks when bytes last arrived and whether a frame was sent. All fields are volatile. */
internal class LivenessMonitor(
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    @Volatile
    private var lastActivity = time.markNow()

    @Volatile
    private var isReading = true

    @Volatile
    private var hasSent = false

    fun recordReceived() {
        lastActivity = time.markNow()
    }

    fun startReading() {
        recordReceived()
        isReading = true
    }

    fun stopReading() {
        isReading = false
    }

    fun recordSent() {
        hasSent = true
    }

    /** Whether a frame was sent since the last call. */
    fun getAndResetSent(): Boolean = hasSent.also { hasSent = false }

    fun isSilentFor(limit: Duration): Boolean = isReading && lastActivity.elapsedNow() > limit
}
