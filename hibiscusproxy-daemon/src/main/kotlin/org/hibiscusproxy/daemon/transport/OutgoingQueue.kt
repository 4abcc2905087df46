package org.hibiscusproxy.daemon.transport

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * Encoded messages that wait to be sent on one connection, bounded in bytes. A message larger than
 * the bound is taken when nothing else waits.
 *
 * Lock: the queue's own monitor guards the frames, their size and [closed]; no other lock is taken
 * and no coroutine suspends under it. [senders] is taken before the monitor and makes the senders
 * that wait for space proceed in the order of their calls.
 */
internal class OutgoingQueue(private val limitBytes: Int) {
    /** One encoded message and its class for counting. */
    class Frame(val payload: ByteArray, val isData: Boolean)

    private val senders = Mutex()
    private val spaceFreed = Channel<Unit>(Channel.CONFLATED)
    private val frameAdded = Channel<Unit>(Channel.CONFLATED)
    private var frames = ArrayList<Frame>()
    private var waitingBytes = 0
    private var closed = false

    private enum class Added { YES, NO_SPACE, CLOSED }

    /** Suspends until there is space. Returns false when the queue is closed. */
    suspend fun add(frame: Frame): Boolean {
        if (!senders.isLocked) {
            val added = tryAdd(frame)
            if (added != Added.NO_SPACE) return added == Added.YES
        }
        senders.withLock {
            while (true) {
                val added = tryAdd(frame)
                if (added != Added.NO_SPACE) return added == Added.YES
                spaceFreed.receiveCatching()
            }
        }
    }

    /** Takes all waiting frames; suspends while there are none. Returns null when closed. */
    suspend fun takeAll(): List<Frame>? {
        while (true) {
            val taken = takeWaiting() ?: return null
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

    private fun tryAdd(frame: Frame): Added {
        val added = synchronized(this) {
            when {
                closed -> Added.CLOSED
                frames.isNotEmpty() && waitingBytes + frame.payload.size > limitBytes ->
                    Added.NO_SPACE
                else -> {
                    frames.add(frame)
                    waitingBytes += frame.payload.size
                    Added.YES
                }
            }
        }
        if (added == Added.YES) frameAdded.trySend(Unit)
        return added
    }

    private fun takeWaiting(): List<Frame>? = synchronized(this) {
        if (closed) return null
        if (frames.isEmpty()) return emptyList()
        val taken = frames
        frames = ArrayList()
        waitingBytes = 0
        taken
    }

    private companion object {
        val HEARTBEAT = Frame(ByteArray(0), isData = false)
    }
}
