package org.hibiscusproxy.standins.faults

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.random.Random

/** One direction of a proxied connection. Confined to the proxy's thread. */
internal class ProxyLane(
    private val source: SocketChannel,
    private val sink: SocketChannel,
    private val random: Random,
) {
    private class Piece(val bytes: ByteBuffer, val releaseNanoseconds: Long, val isEnd: Boolean)

    private val pieces = ArrayDeque<Piece>()
    private var queuedBytes = 0
    private var lastReleaseNanoseconds = Long.MIN_VALUE
    private var nextWriteNanoseconds = Long.MIN_VALUE
    private var hasLostBytes = false
    private var sinkIsFull = false
    private var faults = DirectionFaults()
    private var bytesUntilReset: Long? = null

    private var passed = 0L
    private var vanished = 0L

    /** Whether the source has closed its side. */
    var hasEnded: Boolean = false
        private set

    private var endWasPassedOn = false

    /** Whether nothing more will come through, because it was passed on or was lost. */
    val isDone: Boolean get() = endWasPassedOn || hasEnded && hasLostBytes

    /** Whether more bytes may be read now. */
    val wantsRead: Boolean get() = !hasEnded && queuedBytes < MAXIMUM_QUEUED_BYTES

    /** Whether writing waits for the sink only. */
    val wantsWrite: Boolean get() = sinkIsFull

    fun apply(faults: DirectionFaults) {
        if (faults.resetAfterBytes != this.faults.resetAfterBytes) {
            bytesUntilReset = faults.resetAfterBytes
        }
        this.faults = faults
        if (faults.cut == Cut.VANISH) discardQueue()
    }

    /** Reads what there is. */
    fun read(buffer: ByteBuffer, now: Long) {
        buffer.clear()
        val count = source.read(buffer)
        if (count < 0) {
            hasEnded = true
            hasLostBytes = hasLostBytes || faults.cut == Cut.VANISH
            if (!hasLostBytes) enqueue(ByteBuffer.allocate(0), now, isEnd = true)
            return
        }
        buffer.flip()
        if (faults.cut == Cut.VANISH || hasLostBytes) {
            hasLostBytes = hasLostBytes || count > 0
            vanished += count
            return
        }
        val copy = ByteBuffer.allocate(count).put(buffer).flip()
        enqueue(copy, now, isEnd = false)
    }

    /**
     * Writes what is due.
     *
     * @throws ConnectionDropped when the connection has to be reset now
     */
    fun write(now: Long) {
        sinkIsFull = false
        while (faults.cut == Cut.NONE && !hasLostBytes && !sinkIsFull) {
            val piece = pieces.firstOrNull() ?: return
            if (piece.releaseNanoseconds > now || nextWriteNanoseconds > now) return
            if (piece.isEnd) {
                pieces.removeFirst()
                sink.shutdownOutput()
                endWasPassedOn = true
                return
            }
            writePart(piece, now)
            if (!piece.bytes.hasRemaining()) pieces.removeFirst()
        }
    }

    /** Monotonic time at which [write] has something to do; null when only an event can tell. */
    fun dueNanoseconds(): Long? {
        if (faults.cut != Cut.NONE || hasLostBytes || sinkIsFull) return null
        val piece = pieces.firstOrNull() ?: return null
        return maxOf(piece.releaseNanoseconds, nextWriteNanoseconds)
    }

    fun takePassed(): Long = passed.also { passed = 0 }

    fun takeVanished(): Long = vanished.also { vanished = 0 }

    private fun writePart(piece: Piece, now: Long) {
        val bandwidth = faults.bytesPerSecond
        val allowed = minOf(
            piece.bytes.remaining().toLong(),
            bandwidth?.let { maxOf(1, it / PARTS_PER_SECOND) } ?: Long.MAX_VALUE,
            bytesUntilReset ?: Long.MAX_VALUE,
        ).toInt()
        val limit = piece.bytes.limit()
        piece.bytes.limit(piece.bytes.position() + allowed)
        val count = sink.write(piece.bytes)
        piece.bytes.limit(limit)
        sinkIsFull = count < allowed
        queuedBytes -= count
        passed += count
        if (bandwidth != null) {
            nextWriteNanoseconds = now + count * NANOSECONDS_PER_SECOND / bandwidth
        }
        val left = bytesUntilReset ?: return
        bytesUntilReset = left - count
        if (left - count <= 0) throw ConnectionDropped()
    }

    private fun enqueue(bytes: ByteBuffer, now: Long, isEnd: Boolean) {
        val jitter = faults.jitterMilliseconds
        val addition = if (jitter == 0L) 0L else random.nextLong(jitter * NANOSECONDS_PER_MILLI)
        val release = now + faults.delayMilliseconds * NANOSECONDS_PER_MILLI + addition
        lastReleaseNanoseconds = maxOf(lastReleaseNanoseconds, release)
        pieces += Piece(bytes, lastReleaseNanoseconds, isEnd)
        queuedBytes += bytes.remaining()
    }

    private fun discardQueue() {
        hasLostBytes = hasLostBytes || pieces.isNotEmpty()
        vanished += queuedBytes
        pieces.clear()
        queuedBytes = 0
    }

    private companion object {
        const val MAXIMUM_QUEUED_BYTES = 1_048_576
        const val PARTS_PER_SECOND = 100L
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
        const val NANOSECONDS_PER_MILLI = 1_000_000L
    }
}

/** The connection passed as many bytes as its faults allow. */
internal class ConnectionDropped : IOException("dropped after the configured number of bytes")
