package org.hibiscusproxy.standins.faults

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import kotlin.random.Random

/**
 * A proxied connection. While a direction is cut, a new connection is accepted, but the connection
 * to the target is opened only when the cut ends, and not at all if the client closes its side
 * before. Confined to the selector thread of the proxy.
 */
internal class ProxyConnection(
    private val client: SocketChannel,
    private val selector: Selector,
    private val targetAddress: InetSocketAddress,
    random: Random,
) {
    private val target: SocketChannel = SocketChannel.open()
    private val forward = ProxyPipe(client, target, random)
    private val backward = ProxyPipe(target, client, random)
    private var faults = ProxyFaults()
    private var hasStartedConnecting = false
    private lateinit var clientKey: SelectionKey
    private lateinit var targetKey: SelectionKey

    /** Whether both sides are closed. */
    var isClosed: Boolean = false
        private set

    fun open(faults: ProxyFaults) {
        listOf(client, target).forEach {
            it.configureBlocking(false)
            it.setOption(StandardSocketOptions.TCP_NODELAY, true)
        }
        clientKey = client.register(selector, 0, this)
        targetKey = target.register(selector, 0, this)
        apply(faults)
    }

    fun apply(faults: ProxyFaults) {
        this.faults = faults
        forward.apply(faults.forward)
        backward.apply(faults.backward)
        resetOnFailure { connectUnlessCut() }
    }

    /** Transfers bytes in both directions as far as faults and sockets allow. */
    fun transfer(buffer: ByteBuffer, now: Long) = resetOnFailure {
        if (isClosed) return@resetOnFailure
        if (target.isConnectionPending && targetKey.isConnectable) target.finishConnect()
        if (isReady(clientKey, SelectionKey.OP_READ)) forward.read(buffer, now)
        if (isReady(targetKey, SelectionKey.OP_READ)) backward.read(buffer, now)
        if (target.isConnected) {
            forward.write(now)
            backward.write(now)
        }
        if (forward.isDone && backward.isDone) close()
        if (forward.hasEnded && !hasStartedConnecting) close()
        if (!isClosed) updateInterest()
    }

    /** Monotonic time at which [transfer] can continue without a socket event; null for none. */
    fun dueNanoseconds(): Long? {
        if (!target.isConnected) return null
        return listOfNotNull(forward.dueNanoseconds(), backward.dueNanoseconds()).minOrNull()
    }

    fun takeForwardBytes(): Long = forward.takeTransferredBytes()

    fun takeBackwardBytes(): Long = backward.takeTransferredBytes()

    fun takeDiscardedBytes(): Long = forward.takeDiscardedBytes() + backward.takeDiscardedBytes()

    /** Closes both sides with a TCP reset. */
    fun reset() {
        listOf(client, target).forEach {
            runCatching { it.setOption(StandardSocketOptions.SO_LINGER, 0) }
        }
        close()
    }

    /** Closes both sides. */
    fun close() {
        isClosed = true
        runCatching { client.close() }
        runCatching { target.close() }
    }

    private fun connectUnlessCut() {
        val isCut = faults.forward.cut != Cut.NONE || faults.backward.cut != Cut.NONE
        if (hasStartedConnecting || isCut) return
        hasStartedConnecting = true
        target.connect(targetAddress)
        updateInterest()
    }

    private fun updateInterest() {
        clientKey.interestOps(interest(forward.wantsRead, backward.wantsWrite))
        targetKey.interestOps(
            when {
                !hasStartedConnecting -> 0
                target.isConnectionPending -> SelectionKey.OP_CONNECT
                else -> interest(backward.wantsRead, forward.wantsWrite)
            },
        )
    }

    private fun interest(read: Boolean, write: Boolean): Int {
        val readOperation = if (read) SelectionKey.OP_READ else 0
        val writeOperation = if (write) SelectionKey.OP_WRITE else 0
        return readOperation or writeOperation
    }

    private fun isReady(key: SelectionKey, operation: Int): Boolean =
        key.readyOps() and key.interestOps() and operation != 0

    /**
     * Propagates a failure of one side to the other as a reset. In a real network a side that is
     * cut off would not receive it, but its connection is unusable either way, so only the time of
     * detection differs.
     */
    private fun resetOnFailure(action: () -> Unit) {
        try {
            action()
        } catch (failure: IOException) {
            reset()
        }
    }
}
