package org.hibiscusproxy.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import java.security.MessageDigest
import java.security.SecureRandom
import org.hibiscusproxy.protocol.Hello

/**
 * Mutual authentication with the fleet key and derivation of the keys of a connection. The
 * connecting side sends magic and nonce; the accepting side responds with magic, nonce and its
 * proof over both nonces; the connecting side sends its own proof. Proofs and keys differ by
 * direction, which prevents reflection attacks. Each side then sends [Hello] as its first frame.
 */
internal class Handshake(
    private val key: FleetKey,
    private val hello: Hello,
    private val settings: TransportSettings,
) {
    /** Result of a successful handshake. */
    class Session(val remote: Hello, val reader: FrameReader, val writer: FrameWriter)

    /** Returns null when the peer did not prove that it holds the key or did not send [Hello]. */
    suspend fun connect(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        onProgress: () -> Unit,
    ): Session? {
        val ownNonce = newNonce()
        output.writeFully(MAGIC)
        output.writeFully(ownNonce)
        output.flush()
        if (!readMagic(input)) return null
        val peerNonce = input.readBytes(NONCE_BYTES)
        val proof = input.readBytes(PROOF_BYTES)
        val expectedProof = key.derive(ACCEPTOR_PROOF, ownNonce, peerNonce)
        if (!MessageDigest.isEqual(proof, expectedProof)) return null
        output.writeFully(key.derive(CONNECTOR_PROOF, ownNonce, peerNonce))
        return exchangeHello(
            FrameReader(
                input,
                key.derive(ACCEPTOR_KEY, ownNonce, peerNonce),
                settings.maximumFrameBytes,
                onProgress,
            ),
            FrameWriter(output, key.derive(CONNECTOR_KEY, ownNonce, peerNonce)),
        )
    }

    /**
     * Returns null when the peer did not prove that it holds the key or did not send [Hello]. Until
     * the proof, only the bytes of the handshake are read from [socket]; [open] opens its channels.
     */
    suspend fun accept(
        socket: RawSocket,
        open: () -> Pair<ByteReadChannel, ByteWriteChannel>,
        onProgress: () -> Unit,
    ): Session? {
        if (!socket.read(MAGIC.size).contentEquals(MAGIC)) return null
        val peerNonce = socket.read(NONCE_BYTES)
        val ownNonce = newNonce()
        socket.write(MAGIC + ownNonce + key.derive(ACCEPTOR_PROOF, peerNonce, ownNonce))
        val proof = socket.read(PROOF_BYTES)
        val expectedProof = key.derive(CONNECTOR_PROOF, peerNonce, ownNonce)
        if (!MessageDigest.isEqual(proof, expectedProof)) return null
        val (input, output) = open()
        return exchangeHello(
            FrameReader(
                input,
                key.derive(CONNECTOR_KEY, peerNonce, ownNonce),
                settings.maximumFrameBytes,
                onProgress,
            ),
            FrameWriter(output, key.derive(ACCEPTOR_KEY, peerNonce, ownNonce)),
        )
    }

    private suspend fun exchangeHello(reader: FrameReader, writer: FrameWriter): Session? {
        writer.write(MessageCodec.encode(hello))
        writer.flush()
        val frame = reader.next() as? FrameReadResult.Accepted ?: return null
        val remote = runCatching { MessageCodec.decode(frame.payload) }.getOrNull() as? Hello
        return remote?.let { Session(it, reader, writer) }
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
