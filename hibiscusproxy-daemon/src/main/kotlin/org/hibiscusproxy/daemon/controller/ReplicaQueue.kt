package org.hibiscusproxy.daemon.controller

import kotlinx.coroutines.channels.Channel
import org.hibiscusproxy.protocol.ConsensusEnvelope
import org.hibiscusproxy.protocol.ControlMessage

/**
 * Messages that wait for the connection to another controller. If [MAXIMUM_MESSAGES] wait, the
 * oldest is dropped. Of the messages above [LARGE_BYTES] only the newest waits: the log has one
 * request under way to each member, so a further one is sent in place of the one before. The queue
 * holds one entry of the log and 1 MB at most, however long the connection is missing.
 *
 * Locking: the queue's own monitor guards [messages]; no other lock is acquired while it is held.
 */
internal class ReplicaQueue {
    private val messages = ArrayDeque<ControlMessage>()
    private val added = Channel<Unit>(Channel.CONFLATED)

    fun add(message: ControlMessage) {
        synchronized(this) {
            if (message.isLarge) messages.removeAll { it.isLarge }
            if (messages.size == MAXIMUM_MESSAGES) messages.removeFirst()
            messages.addLast(message)
        }
        added.trySend(Unit)
    }

    /** Removes the oldest message, suspending while there is none. */
    suspend fun take(): ControlMessage {
        while (true) {
            synchronized(this) { messages.removeFirstOrNull() }?.let { return it }
            added.receive()
        }
    }

    private val ControlMessage.isLarge: Boolean
        get() = this is ConsensusEnvelope && content.bytes.size > LARGE_BYTES

    private companion object {
        const val MAXIMUM_MESSAGES = 1_024
        const val LARGE_BYTES = 1_024
    }
}
