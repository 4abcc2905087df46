package org.hibiscusproxy.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.nio.ByteBuffer
import java.security.MessageDigest
import kotlinx.serialization.cbor.Cbor
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.PeerMessage

/** Message codec. Unknown keys are ignored so that processes of different versions interoperate. */
internal val MessageCodec: Cbor = Cbor {
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}

/** Encodes [message]. Large control messages are compressed, which data of callers rarely merits. */
internal fun Cbor.encode(message: PeerMessage): ByteArray {
    val encoded = encodeToByteArray(PeerMessage.serializer(), message)
    return if (message is ControlMessage) MessageCompression.compress(encoded) else encoded
}

internal fun Cbor.decode(bytes: ByteArray): PeerMessage =
    decodeFromByteArray(PeerMessage.serializer(), MessageCompression.expand(bytes))

/** Bytes that a frame's length field and tag add to its payload. */
internal const val FRAME_OVERHEAD_BYTES: Int = 20

private const val TAG_BYTES = 16
private const val READ_CHUNK_BYTES = 65_536

/**
 * Computes the authentication tags of one direction of a connection. The tag covers a sequence
 * number that is not sent but counted on both sides, so that the tag of a replayed, dropped or
 * reordered frame does not match. Not safe for concurrent use.
 */
internal class FrameAuthenticator(key: ByteArray) {
    private val code = HmacSha256(key)
    private val sequence = ByteBuffer.allocate(Long.SIZE_BYTES)
    private var nextSequenceNumber = 0L

    fun tag(payload: ByteArray): ByteArray {
        code.update(sequence.putLong(0, nextSequenceNumber++).array())
        code.update(payload)
        return code.finish().copyOf(TAG_BYTES)
    }
}

/** Writes frames to [channel] without flushing. Not safe for concurrent use. */
internal class FrameWriter(private val channel: ByteWriteChannel, key: ByteArray) {
    private val authenticator = FrameAuthenticator(key)

    suspend fun write(payload: ByteArray) {
        channel.writeInt(payload.size)
        channel.writeFully(payload)
        channel.writeFully(authenticator.tag(payload))
    }

    suspend fun flush() = channel.flush()
}

/** Result of reading a frame. */
internal sealed class FrameReadResult {
    /** An authentic frame; an empty [payload] is a heartbeat. */
    class Accepted(val payload: ByteArray) : FrameReadResult()

    /** The frame was refused; the connection must be closed. */
    class Refused(val refusal: FrameRefusal) : FrameReadResult()
}

/**
 * Reads frames from [channel] and calls [onProgress] whenever bytes arrive, so that a large frame
 * on a slow link is not mistaken for silence. Not safe for concurrent use.
 */
internal class FrameReader(
    private val channel: ByteReadChannel,
    key: ByteArray,
    private val maximumBytes: Int,
    private val onProgress: () -> Unit = {},
) {
    private val authenticator = FrameAuthenticator(key)
    private val receivedTag = ByteArray(TAG_BYTES)

    /** Reads one frame. Throws an I/O exception when the connection ends. */
    suspend fun next(): FrameReadResult {
        val length = channel.readInt()
        onProgress()
        if (length !in 0..maximumBytes) {
            return FrameReadResult.Refused(FrameRefusal.OVERSIZED)
        }
        val payload = ByteArray(length)
        var read = 0
        while (read < length) {
            val end = minOf(length, read + READ_CHUNK_BYTES)
            channel.readFully(payload, read, end)
            onProgress()
            read = end
        }
        channel.readFully(receivedTag)
        val expectedTag = authenticator.tag(payload)
        return when {
            MessageDigest.isEqual(expectedTag, receivedTag) -> FrameReadResult.Accepted(payload)
            else -> FrameReadResult.Refused(FrameRefusal.BAD_TAG)
        }
    }
}
