package org.hibiscusproxy.daemon.transport

import java.util.concurrent.ConcurrentHashMap
import kotlin.reflect.KClass
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.TargetList

/**
 * Encodes the messages of all connections of a transport. The latest message of each type that is
 * sent to many peers is encoded once for all of them. Safe for concurrent use; a connection that
 * needs a message which another one is encoding waits for it.
 */
internal class MessageEncoder {
    private val latest = ConcurrentHashMap<KClass<out PeerMessage>, Encoded>()

    fun encode(message: PeerMessage): ByteArray = when (message) {
        is RoutingChange, is RoutingUpdate, is TargetList -> encodeOnce(message)
        else -> MessageCodec.encode(message)
    }

    private fun encodeOnce(message: PeerMessage): ByteArray {
        val encoded = latest.compute(message::class) { _, previous ->
            previous?.takeIf { it.message === message }
                ?: Encoded(message, MessageCodec.encode(message))
        }
        return checkNotNull(encoded).payload
    }

    private class Encoded(val message: PeerMessage, val payload: ByteArray)
}
