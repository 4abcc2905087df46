package org.hibiscusproxy.daemon.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/**
 * Reads and writes the bytes of a handshake on the connection itself. The channels of Ktor read ahead
 * up to a megabyte, which strangers must not be able to fill.
 */
internal class RawSocket(private val selector: SelectorManager, private val socket: Selectable) {
    private val channel = socket.channel as SocketChannel

    /** Reads [count] bytes. Throws an I/O exception when the connection ends before. */
    suspend fun read(count: Int): ByteArray {
        val buffer = ByteBuffer.allocate(count)
        while (buffer.hasRemaining()) {
            val read = channel.read(buffer)
            if (read < 0) throw EOFException("the connection ended within the handshake")
            if (read == 0) await(SelectInterest.READ)
        }
        return buffer.array()
    }

    /** Writes [bytes]. */
    suspend fun write(bytes: ByteArray) {
        val buffer = ByteBuffer.wrap(bytes)
        while (buffer.hasRemaining()) {
            if (channel.write(buffer) == 0) await(SelectInterest.WRITE)
        }
    }

    private suspend fun await(interest: SelectInterest) {
        socket.interestOp(interest, true)
        selector.select(socket, interest)
        socket.interestOp(interest, false)
    }
}
