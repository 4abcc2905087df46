package org.hibiscusproxy.daemon.transport

import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import kotlin.concurrent.thread
import org.hibiscusproxy.model.NetworkAddress

/**
 * TCP proxy that forwards the handshake unchanged and replaces each frame from the connecting side
 * by the result of [transform]. Frames are numbered from 0, which is the `Hello` message.
 *
 * @property receiveBufferBytes size of the socket buffer for frames that arrive; null leaves it to
 *   the operating system
 */
class FrameTamperer(
    private val server: NetworkAddress,
    private val receiveBufferBytes: Int? = null,
    private val transform: (Int, ByteArray) -> List<ByteArray>,
) : AutoCloseable {
    private val listener = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))
    val address = NetworkAddress("127.0.0.1", listener.localPort)

    init {
        receiveBufferBytes?.let { listener.receiveBufferSize = it }
        thread(isDaemon = true) {
            runCatching { while (true) forward(listener.accept()) }
        }
    }

    override fun close() = listener.close()

    private fun forward(client: Socket) {
        val upstream = Socket(server.host, server.port)
        thread(isDaemon = true) {
            runCatching { upstream.inputStream.transferTo(client.outputStream) }
            client.close()
        }
        thread(isDaemon = true) {
            runCatching { transformFrames(client.inputStream, upstream.outputStream) }
            upstream.close()
        }
    }

    private fun transformFrames(from: InputStream, to: OutputStream) {
        val input = DataInputStream(from)
        val output = DataOutputStream(to)
        repeat(2) { step ->
            output.write(input.readNBytes(if (step == 0) MAGIC_AND_NONCE_BYTES else PROOF_BYTES))
            output.flush()
        }
        var number = 0
        while (true) {
            val length = input.readInt()
            val rest = input.readNBytes(length + TAG_BYTES)
            val frame = ByteBuffer.allocate(4 + rest.size).putInt(length).put(rest).array()
            transform(number++, frame).forEach(output::write)
            output.flush()
        }
    }

    private companion object {
        const val MAGIC_AND_NONCE_BYTES = 36
        const val PROOF_BYTES = 32
        const val TAG_BYTES = 16
    }
}
