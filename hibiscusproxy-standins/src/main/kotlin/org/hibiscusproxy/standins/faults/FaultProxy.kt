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
 * TCP proxy that injects faults between two processes. One thread owns all connections; calls from
 * other threads return when that thread has carried them out.
 *
 * @param listen where the proxy accepts connections; port 0 takes a free one
 * @param target where accepted connections are passed on to
 * @param seed seed of the jitter
 */
class FaultProxy(listen: NetworkAddress, private val target: NetworkAddress, seed: Long = 1) :
    AutoCloseable {
    private val random = Random(seed)
    private val selector = Selector.open()
    private val commands = ConcurrentLinkedQueue<() -> Unit>()
    private val links = ArrayList<ProxyLink>()
    private val buffer = ByteBuffer.allocateDirect(BUFFER_BYTES)
    private var listener: ServerSocketChannel? = null
    private var accepted = 0L
    private var resets = 0L
    private var forwardBytes = 0L
    private var backwardBytes = 0L
    private var vanishedBytes = 0L

    @Volatile
    private var isOpen = true

    @Volatile
    private var current = ProxyFaults()

    /** Where the proxy listens. */
    val address: NetworkAddress

    private val thread = Thread(::run, "fault-proxy").apply { isDaemon = true }

    init {
        address = openListener(listen)
        thread.start()
    }

    /** The faults at present. */
    val faults: ProxyFaults get() = current

    /** Replaces all faults. */
    fun apply(faults: ProxyFaults) = onThread {
        current = faults
        if (faults.connect == ConnectFault.REFUSE) refuse() else reopenListener()
        if (faults.connect == ConnectFault.RESET) resetAll()
        links.forEach { it.apply(faults) }
    }

    /** Replaces the faults by a change of the present ones. */
    fun change(change: (ProxyFaults) -> ProxyFaults) = apply(change(current))

    /** Resets the connections that are open now. */
    fun resetConnections() = onThread { resetAll() }

    /** Counts since the start. */
    fun stats(): ProxyStats = onThread {
        ProxyStats(links.size, accepted, resets, forwardBytes, backwardBytes, vanishedBytes)
    }

    override fun close() {
        isOpen = false
        selector.wakeup()
        thread.join()
    }

    private fun run() {
        try {
            while (isOpen) step()
        } finally {
            links.forEach(ProxyLink::close)
            closeListener()
            selector.close()
        }
    }

    private fun step() {
        selector.select(waitMilliseconds())
        while (true) (commands.poll() ?: break)()
        val now = System.nanoTime()
        if (selector.selectedKeys().any { it.isValid && it.isAcceptable }) acceptAll()
        links.forEach { it.work(buffer, now) }
        selector.selectedKeys().clear()
        links.forEach(::count)
        links.removeAll { it.isClosed }
    }

    private fun waitMilliseconds(): Long {
        val due = links.mapNotNull { it.dueNanoseconds() }.minOrNull() ?: return 0
        val wait = due - System.nanoTime()
        return TimeUnit.NANOSECONDS.toMillis(wait + ROUNDING_NANOSECONDS).coerceAtLeast(1)
    }

    private fun acceptAll() {
        while (true) {
            val client = listener?.accept() ?: return
            accepted++
            val address = InetSocketAddress(target.host, target.port)
            val link = ProxyLink(client, selector, address, random)
            link.open(current)
            if (current.connect == ConnectFault.RESET) {
                resets++
                link.reset()
            } else {
                links += link
            }
        }
    }

    private fun count(link: ProxyLink) {
        forwardBytes += link.takeForwardBytes()
        backwardBytes += link.takeBackwardBytes()
        vanishedBytes += link.takeVanishedBytes()
    }

    private fun resetAll() {
        resets += links.size
        links.forEach(ProxyLink::reset)
        links.clear()
    }

    private fun openListener(listen: NetworkAddress): NetworkAddress {
        val channel = ServerSocketChannel.open()
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        channel.bind(InetSocketAddress(listen.host, listen.port), ACCEPT_QUEUE)
        channel.configureBlocking(false)
        channel.register(selector, SelectionKey.OP_ACCEPT)
        listener = channel
        return NetworkAddress(listen.host, (channel.localAddress as InetSocketAddress).port)
    }

    private fun reopenListener() {
        if (listener == null) openListener(address)
    }

    /** Closing the listener would reset connections that wait to be accepted. */
    private fun refuse() {
        acceptAll()
        closeListener()
    }

    private fun closeListener() {
        listener?.close()
        listener = null
        // The operating system closes the socket only when its key has left the selector.
        if (selector.isOpen) selector.selectNow()
    }

    private fun <T> onThread(action: () -> T): T {
        val result = CompletableFuture<T>()
        commands += { runCatching(action).fold(result::complete, result::completeExceptionally) }
        selector.wakeup()
        return result.get(COMMAND_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
        const val ACCEPT_QUEUE = 1_024
        const val ROUNDING_NANOSECONDS = 999_999L
        const val COMMAND_SECONDS = 10L
    }
}
