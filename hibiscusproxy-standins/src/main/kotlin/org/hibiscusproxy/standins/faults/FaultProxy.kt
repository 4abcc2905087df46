package org.hibiscusproxy.standins.faults

import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.hibiscusproxy.model.NetworkAddress

/**
 * TCP proxy that injects faults between two processes. A single selector thread owns all
 * connections; calls from other threads block until that thread has executed them.
 *
 * @param listen address on which the proxy accepts connections; port 0 selects a free port
 * @param target address to which accepted connections are forwarded
 * @param seed random seed of the jitter
 */
class FaultProxy(listen: NetworkAddress, private val target: NetworkAddress, seed: Long = 1) :
    AutoCloseable {
    private val random = Random(seed)
    private val selector = Selector.open()
    private val commands = ConcurrentLinkedQueue<() -> Unit>()
    private val connections = ArrayList<ProxyConnection>()
    private val buffer = ByteBuffer.allocateDirect(BUFFER_BYTES)
    private var listener: ServerSocketChannel? = null
    private var accepted = 0L
    private var resets = 0L
    private var forwardBytes = 0L
    private var backwardBytes = 0L
    private var discardedBytes = 0L

    @Volatile
    private var isOpen = true

    @Volatile
    private var currentFaults = ProxyFaults()

    /** Address on which the proxy listens. */
    val address: NetworkAddress

    private val thread = Thread(::run, "fault-proxy").apply { isDaemon = true }

    init {
        address = openListener(listen)
        thread.start()
    }

    /** The active faults. */
    val faults: ProxyFaults get() = currentFaults

    /** Replaces all faults. */
    fun apply(faults: ProxyFaults) = runOnSelectorThread {
        currentFaults = faults
        if (faults.connect == ConnectFault.REFUSE) refuseConnections() else reopenListener()
        if (faults.connect == ConnectFault.RESET) resetAll()
        connections.forEach { it.apply(faults) }
    }

    /** Replaces the active faults with the result of [transform]. */
    fun update(transform: (ProxyFaults) -> ProxyFaults) = apply(transform(currentFaults))

    /** Resets all open connections. */
    fun resetConnections() = runOnSelectorThread { resetAll() }

    /** Statistics since the start of the proxy. */
    fun stats(): ProxyStats = runOnSelectorThread {
        ProxyStats(connections.size, accepted, resets, forwardBytes, backwardBytes, discardedBytes)
    }

    override fun close() {
        isOpen = false
        selector.wakeup()
        thread.join()
    }

    private fun run() {
        try {
            while (isOpen) processEvents()
        } finally {
            connections.forEach(ProxyConnection::close)
            closeListener()
            selector.close()
        }
    }

    private fun processEvents() {
        selector.select(selectTimeoutMilliseconds())
        while (true) (commands.poll() ?: break)()
        val now = System.nanoTime()
        if (selector.selectedKeys().any { it.isValid && it.isAcceptable }) acceptAll()
        connections.forEach { it.transfer(buffer, now) }
        selector.selectedKeys().clear()
        connections.forEach(::count)
        connections.removeAll { it.isClosed }
    }

    private fun selectTimeoutMilliseconds(): Long {
        val due = connections.mapNotNull { it.dueNanoseconds() }.minOrNull() ?: return 0
        val wait = due - System.nanoTime()
        return TimeUnit.NANOSECONDS.toMillis(wait + ROUNDING_NANOSECONDS).coerceAtLeast(1)
    }

    private fun acceptAll() {
        while (true) {
            val client = listener?.accept() ?: return
            accepted++
            val address = InetSocketAddress(target.host, target.port)
            val connection = ProxyConnection(client, selector, address, random)
            connection.open(currentFaults)
            if (currentFaults.connect == ConnectFault.RESET) {
                resets++
                connection.reset()
            } else {
                connections += connection
            }
        }
    }

    private fun count(connection: ProxyConnection) {
        forwardBytes += connection.takeForwardBytes()
        backwardBytes += connection.takeBackwardBytes()
        discardedBytes += connection.takeDiscardedBytes()
    }

    private fun resetAll() {
        resets += connections.size
        connections.forEach(ProxyConnection::reset)
        connections.clear()
    }

    private fun openListener(listen: NetworkAddress): NetworkAddress {
        val channel = ServerSocketChannel.open()
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        channel.bind(InetSocketAddress(listen.host, listen.port), BACKLOG)
        channel.configureBlocking(false)
        channel.register(selector, SelectionKey.OP_ACCEPT)
        listener = channel
        return NetworkAddress(listen.host, (channel.localAddress as InetSocketAddress).port)
    }

    private fun reopenListener() {
        if (listener == null) openListener(address)
    }

    /** Accepts pending connections first, because closing the listener would reset them. */
    private fun refuseConnections() {
        acceptAll()
        closeListener()
    }

    private fun closeListener() {
        listener?.close()
        listener = null
        // The socket is closed only when its key has been deregistered from the selector.
        if (selector.isOpen) selector.selectNow()
    }

    private fun <T> runOnSelectorThread(action: () -> T): T {
        val result = CompletableFuture<T>()
        commands += { runCatching(action).fold(result::complete, result::completeExceptionally) }
        selector.wakeup()
        return result.get(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
        const val BACKLOG = 1_024
        const val ROUNDING_NANOSECONDS = 999_999L
        const val COMMAND_TIMEOUT_SECONDS = 10L
    }
}
