package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.TargetName

/** Pool of keep-alive connections to targets. Used on the event loop only. */
internal class TargetPool(
    private val connector: TargetConnector,
    private val wire: WireFormat,
    private val log: RequestLog,
    private val time: TimeSource.WithComparableMarks,
) {
    private val connections = HashMap<TargetName, TargetConnections>()
    private val idle = HashMap<TargetName, ArrayDeque<TargetConnection>>()

    /** Called when bytes of a target have arrived. */
    var onReceived: (TargetName) -> Unit = {}

    /** Number of open connections, both idle and in use. */
    var openCount = 0
        private set

    /**
     * Removes and returns the most recently used idle connection to [target] on which the answer to
     * a request with [method] and [identifier] can be told from those to earlier ones, or null.
     */
    fun acquireIdle(
        target: TargetName,
        method: HttpMethod,
        identifier: String?,
    ): TargetConnection? {
        val connections = idle[target] ?: return null
        connections.removeAll { connection ->
            (!connection.isUsable).also { if (it) connection.cancel() }
        }
        val index = connections.indexOfLast { it.accepts(method, identifier) }
        return if (index < 0) null else connections.removeAt(index)
    }

    /** Opens a connection to [target] and passes the outcome to [onResult]. */
    fun connect(target: DiscoveredTarget, onResult: (ConnectResult) -> Unit) {
        val connection = TargetConnection(
            wire,
            onIdle = { idleOf(target.name).addLast(it) },
            onUnmatchedAnswer = { log.unmatchedAnswer(target.name, it) },
            onReceived = { onReceived(target.name) },
        )
        val future = connector.connect(target.address) { channel ->
            channel.pipeline().addLast(
                TargetResponseDecoder(decoderConfig(), connection),
                HttpRequestEncoder(),
                connection,
            )
        }
        future.addListener(
            ChannelFutureListener {
                if (it.isSuccess) {
                    recordOpened(target.name, connection)
                    onResult(ConnectResult.Connected(connection))
                } else {
                    onResult(ConnectResult.Failed(it.cause()))
                }
            },
        )
    }

    private fun recordOpened(target: TargetName, connection: TargetConnection) {
        val ofTarget = connections.getOrPut(target) { TargetConnections(time) }
        openCount += 1
        ofTarget.recordOpened(connection)
        connection.channel.closeFuture().addListener {
            openCount -= 1
            ofTarget.recordClosed(connection)
        }
    }

    /** Whether a connection to [target] is open that was opened before [moment]. */
    fun hasOpen(target: TargetName, moment: ComparableTimeMark): Boolean =
        connections[target]?.hasOpen(moment) == true

    /** Number of connections that [target] closed at [moment] or later. */
    fun lost(target: TargetName, moment: ComparableTimeMark): Int =
        connections[target]?.lost(moment) ?: 0

    /** Closes idle connections that reached their limit or whose target is not in [targets]. */
    fun prune(targets: Set<TargetName>) {
        idle.forEach { (name, connections) ->
            connections.removeAll { connection ->
                val isRemoved = name !in targets || !connection.isUsable
                if (isRemoved) connection.cancel()
                isRemoved
            }
        }
        idle.values.removeAll { it.isEmpty() }
        connections.entries.removeAll { (name, ofTarget) -> name !in targets && ofTarget.isEmpty }
    }

    /** Closes the idle connections to [target]. */
    fun closeIdle(target: TargetName) {
        idle.remove(target)?.forEach { it.cancel() }
    }

    private fun idleOf(target: TargetName) = idle.getOrPut(target) { ArrayDeque() }

    private fun decoderConfig() = HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES)

    private companion object {
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}
