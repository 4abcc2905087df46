package org.hibiscusproxy.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import java.security.MessageDigest
import java.security.SecureRandom
import org.hibiscusproxy.protocol.Hello

/**
 * Mutual proof of the fleet key and agreement on the keys of a connection. The connecting side
 * sends magic and nonce; the accepting side answers with magic, nonce and its proof over both
 * nonces; the connecting side sends its own proof. Proofs and keys differ by direction, so that
 * nothing can be reflected. After that each side sends [Hello] as its first frame.
 */
internal class Handshake(
    private val key: FleetKey,
    private val hello: Hello,
    private val settings: TransportSettings,
) {
    /** An agreed connection. [onProgress] of the reader is set by the connection. */
    class Agreed(val remote: Hello, val reader: FrameReader, val writer: FrameWriter)

    /** Returns null when the other side did not prove the key or did not say hello. */
    suspend fun connect(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        onProgress: () -> Unit,
    ): Agreed? {
        val own = newNonce()
        output.writeFully(MAGIC)
        output.writeFully(own)
        output.flush()
        if (!readMagic(input)) return null
        val other = input.readBytes(NONCE_BYTES)
        val proof = input.readBytes(PROOF_BYTES)
        if (!MessageDigest.isEqual(proof, key.derive(ACCEPTOR_PROOF, own, other))) return null
        output.writeFully(key.derive(CONNECTOR_PROOF, own, other))
        return exchangeHello(
            FrameReader(
                input,
                key.derive(ACCEPTOR_KEY, own, other),
                settings.maximumFrameBytes,
                onProgress,
            ),
            FrameWriter(output, key.derive(CONNECTOR_KEY, own, other)),
        )
    }

    /** Returns null when the other side did not prove the key or did not say hello. */
    suspend fun accept(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        onProgress: () -> Unit,
    ): Agreed? {
        if (!readMagic(input)) return null
        val other = input.readBytes(NONCE_BYTES)
        val own = newNonce()
        output.writeFully(MAGIC)
        output.writeFully(own)
        output.writeFully(key.derive(ACCEPTOR_PROOF, other, own))
        output.flush()
        val proof = input.readBytes(PROOF_BYTES)
        if (!MessageDigest.isEqual(proof, key.derive(CONNECTOR_PROOF, other, own))) return null
        return exchangeHello(
            FrameReader(
                input,
                key.derive(CONNECTOR_KEY, other, own),
                settings.maximumFrameBytes,
                onProgress,
            ),
            FrameWriter(output, key.derive(ACCEPTOR_KEY, other, own)),
        )
    }

    private suspend fun exchangeHello(reader: FrameReader, writer: FrameWriter): Agreed? {
        writer.write(MessageCodec.encode(hello))
        writer.flush()
        val frame = reader.next() as? ReadFrame.Accepted ?: return null
        val remote = runCatching { MessageCodec.decode(frame.payload) }.getOrNull() as? Hello
        return remote?.let { Agreed(it, reader, writer) }
    }

    private suspend fun readMagic(input: ByteReadChannel): Boolean =
        input.readBytes(MAGIC.size).contentEquals(MAGIC)

    private suspend fun ByteReadChannel.readBytes(count: Int): ByteArray =
        ByteArray(count).also { readFully(it) }

    private fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also(RANDOM::nextBytes)

    private companion object {
        val MAGIC = "HBX1".encodeToByteArray()
        val RANDOM = SecureRandom()
        const val NONCE_BYTES = 32
        const val PROOF_BYTES = 32
        const val CONNECTOR_PROOF = "connector-proof"
        const val ACCEPTOR_PROOF = "acceptor-proof"
        const val CONNECTOR_KEY = "connector-frames"
        const val ACCEPTOR_KEY = "acceptor-frames"
    }
}
