package org.hibiscusproxy.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.cbor.Cbor
import org.hibiscusproxy.protocol.PeerMessage

/** Encoding of messages. Unknown keys are ignored so that processes of two versions can talk. */
internal val MessageCodec: Cbor = Cbor {
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}

internal fun Cbor.encode(message: PeerMessage): ByteArray =
    encodeToByteArray(PeerMessage.serializer(), message)

internal fun Cbor.decode(bytes: ByteArray): PeerMessage =
    decodeFromByteArray(PeerMessage.serializer(), bytes)

/** Bytes of length and tag around a frame's payload. */
internal const val FRAME_OVERHEAD_BYTES: Int = 20

private const val TAG_BYTES = 16
private const val READ_STEP_BYTES = 65_536

/**
 * Tags of one direction of one connection. The sequence number is not sent: both sides count, so
 * that a replayed, dropped or reordered frame has a wrong tag. Not safe for concurrent use.
 */
internal class FrameTags(key: ByteArray) {
    private val mac = Mac.getInstance(FleetKey.ALGORITHM).apply {
        init(SecretKeySpec(key, FleetKey.ALGORITHM))
    }
    private val sequence = ByteBuffer.allocate(Long.SIZE_BYTES)
    private var next = 0L

    fun tag(payload: ByteArray): ByteArray {
        mac.update(sequence.putLong(0, next++).array())
        mac.update(payload)
        return mac.doFinal().copyOf(TAG_BYTES)
    }
}

/** Writes frames to [channel] without flushing. Not safe for concurrent use. */
internal class FrameWriter(private val channel: ByteWriteChannel, key: ByteArray) {
    private val tags = FrameTags(key)

    suspend fun write(payload: ByteArray) {
        channel.writeInt(payload.size)
        channel.writeFully(payload)
        channel.writeFully(tags.tag(payload))
    }

    suspend fun flush() = channel.flush()
}

/** What was read at the place of a frame. */
internal sealed class ReadFrame {
    /** An authentic frame; a heartbeat when it is empty. */
    class Accepted(val payload: ByteArray) : ReadFrame()

    /** The connection must be ended. */
    class Refused(val refusal: FrameRefusal) : ReadFrame()
}

/**
 * Reads frames from [channel] and calls [onProgress] whenever bytes arrived, so that a large frame
 * on a slow link does not look like silence. Not safe for concurrent use.
 */
internal class FrameReader(
    private val channel: ByteReadChannel,
    key: ByteArray,
    private val maximumBytes: Int,
    private val onProgress: () -> Unit = {},
) {
    private val tags = FrameTags(key)
    private val receivedTag = ByteArray(TAG_BYTES)

    /** Throws an input error when the connection ends. */
    suspend fun next(): ReadFrame {
        val length = channel.readInt()
        onProgress()
        if (length < 0 || length > maximumBytes) return ReadFrame.Refused(FrameRefusal.OVERSIZED)
        val payload = ByteArray(length)
        var read = 0
        while (read < length) {
            val end = minOf(length, read + READ_STEP_BYTES)
            channel.readFully(payload, read, end)
            onProgress()
            read = end
        }
        channel.readFully(receivedTag)
        return when {
            MessageDigest.isEqual(tags.tag(payload), receivedTag) -> ReadFrame.Accepted(payload)
            else -> ReadFrame.Refused(FrameRefusal.BAD_TAG)
        }
    }
}
