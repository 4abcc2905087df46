package org.hibiscusproxy.daemon.transport

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * Queue of encoded messages to be sent on one connection, bounded in bytes. A message larger than
 * the bound is accepted when the queue is empty.
 *
 * Locking: the queue's own monitor guards the frames, their size and [closed]; no other lock is
 * acquired and no coroutine suspends while it is held. [senderMutex] is acquired before the monitor
 * and lets senders that wait for space proceed in the order of their calls.
 */
internal class OutgoingQueue(private val limitBytes: Int) {
    /** An encoded message; [isData] selects the byte counter. */
    class Frame(val payload: ByteArray, val isData: Boolean)

    private val senderMutex = Mutex()
    private val spaceFreed = Channel<Unit>(Channel.CONFLATED)
    private val frameAdded = Channel<Unit>(Channel.CONFLATED)
    private var frames = ArrayList<Frame>()
    private var queuedBytes = 0
    private var closed = false

    private enum class AddResult { ADDED, FULL, CLOSED }

    /** Adds [frame], suspending while the queue is full. Returns false when the queue is closed. */
    suspend fun add(frame: Frame): Boolean {
        if (!senderMutex.isLocked) {
            val result = tryAdd(frame)
            if (result != AddResult.FULL) return result == AddResult.ADDED
        }
        senderMutex.withLock {
            while (true) {
                val result = tryAdd(frame)
                if (result != AddResult.FULL) return result == AddResult.ADDED
                spaceFreed.receiveCatching()
            }
        }
    }

    /** Removes all frames, suspending while there are none. Returns null when closed. */
    suspend fun takeAll(): List<Frame>? {
        while (true) {
            val taken = tryTakeAll() ?: return null
            if (taken.isNotEmpty()) {
                spaceFreed.trySend(Unit)
                return taken
            }
            frameAdded.receiveCatching()
        }
    }

    /** Adds a heartbeat if the queue is empty and open. */
    fun addHeartbeatIfEmpty() {
        val isEmpty = synchronized(this) { frames.isEmpty() }
        if (isEmpty) tryAdd(HEARTBEAT)
    }

    fun close() {
        synchronized(this) { closed = true }
        spaceFreed.close()
        frameAdded.close()
    }

    private fun tryAdd(frame: Frame): AddResult {
        val result = synchronized(this) {
            when {
                closed -> AddResult.CLOSED
                frames.isNotEmpty() && queuedBytes + frame.payload.size > limitBytes ->
                    AddResult.FULL
                else -> {
                    frames.add(frame)
                    queuedBytes += frame.payload.size
                    AddResult.ADDED
                }
            }
        }
        if (result == AddResult.ADDED) frameAdded.trySend(Unit)
        return result
    }

    private fun tryTakeAll(): List<Frame>? = synchronized(this) {
        if (closed) return null
        if (frames.isEmpty()) return emptyList()
        val taken = frames
        frames = ArrayList()
        queuedBytes = 0
        taken
    }

    private companion object {
        val HEARTBEAT = Frame(ByteArray(0), isData = false)
    }
}
