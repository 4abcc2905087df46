package org.hibiscusproxy.standins.faults

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.random.Random

/** One direction of a proxied connection. Confined to the selector thread of the proxy. */
internal class ProxyPipe(
    private val source: SocketChannel,
    private val sink: SocketChannel,
    private val random: Random,
) {
    private class Chunk(val bytes: ByteBuffer, val releaseNanoseconds: Long, val isEnd: Boolean)

    private val chunks = ArrayDeque<Chunk>()
    private var queuedBytes = 0
    private var lastReleaseNanoseconds = Long.MIN_VALUE
    private var nextWriteNanoseconds = Long.MIN_VALUE
    private var hasDiscardedBytes = false
    private var sinkIsFull = false
    private var faults = DirectionFaults()
    private var bytesUntilReset: Long? = null

    private var transferredBytes = 0L
    private var discardedBytes = 0L

    /** Whether the source has closed its output. */
    var hasEnded: Boolean = false
        private set

    private var hasForwardedEnd = false

    /** Whether the end of the stream was forwarded, or reached after bytes were discarded. */
    val isDone: Boolean get() = hasForwardedEnd || hasEnded && hasDiscardedBytes

    /** Whether the queue accepts more bytes from the source. */
    val wantsRead: Boolean get() = !hasEnded && queuedBytes < MAXIMUM_QUEUED_BYTES

    /** Whether writing is blocked only by the sink. */
    val wantsWrite: Boolean get() = sinkIsFull

    fun apply(faults: DirectionFaults) {
        if (faults.resetAfterBytes != this.faults.resetAfterBytes) {
            bytesUntilReset = faults.resetAfterBytes
        }
        this.faults = faults
        if (faults.cut == Cut.VANISH) discardQueue()
    }

    /** Reads available bytes from the source. */
    fun read(buffer: ByteBuffer, now: Long) {
        buffer.clear()
        val count = source.read(buffer)
        if (count < 0) {
            hasEnded = true
            hasDiscardedBytes = hasDiscardedBytes || faults.cut == Cut.VANISH
            if (!hasDiscardedBytes) enqueue(ByteBuffer.allocate(0), now, isEnd = true)
            return
        }
        buffer.flip()
        if (faults.cut == Cut.VANISH || hasDiscardedBytes) {
            hasDiscardedBytes = hasDiscardedBytes || count > 0
            discardedBytes += count
            return
        }
        val copy = ByteBuffer.allocate(count).put(buffer).flip()
        enqueue(copy, now, isEnd = false)
    }

    /**
     * Writes the queued bytes whose release time has passed.
     *
     * @throws ByteLimitReachedException when the connection must be reset
     */
    fun write(now: Long) {
        sinkIsFull = false
        while (faults.cut == Cut.NONE && !hasDiscardedBytes && !sinkIsFull) {
            val chunk = chunks.firstOrNull() ?: return
            if (chunk.releaseNanoseconds > now || nextWriteNanoseconds > now) return
            if (chunk.isEnd) {
                chunks.removeFirst()
                sink.shutdownOutput()
                hasForwardedEnd = true
                return
            }
            writeChunk(chunk, now)
            if (!chunk.bytes.hasRemaining()) chunks.removeFirst()
        }
    }

    /** Monotonic time at which [write] can continue; null when it must wait for a socket event. */
    fun dueNanoseconds(): Long? {
        if (faults.cut != Cut.NONE || hasDiscardedBytes || sinkIsFull) return null
        val chunk = chunks.firstOrNull() ?: return null
        return maxOf(chunk.releaseNanoseconds, nextWriteNanoseconds)
    }

    fun takeTransferredBytes(): Long = transferredBytes.also { transferredBytes = 0 }

    fun takeDiscardedBytes(): Long = discardedBytes.also { discardedBytes = 0 }

    private fun writeChunk(chunk: Chunk, now: Long) {
        val bandwidth = faults.bytesPerSecond
        val allowed = minOf(
            chunk.bytes.remaining().toLong(),
            bandwidth?.let { maxOf(1, it / WRITES_PER_SECOND) } ?: Long.MAX_VALUE,
            bytesUntilReset ?: Long.MAX_VALUE,
        ).toInt()
        val limit = chunk.bytes.limit()
        chunk.bytes.limit(chunk.bytes.position() + allowed)
        val count = sink.write(chunk.bytes)
        chunk.bytes.limit(limit)
        sinkIsFull = count < allowed
        queuedBytes -= count
        transferredBytes += count
        if (bandwidth != null) {
            nextWriteNanoseconds = now + count * NANOSECONDS_PER_SECOND / bandwidth
        }
        val remaining = bytesUntilReset ?: return
        bytesUntilReset = remaining - count
        if (remaining - count <= 0) throw ByteLimitReachedException()
    }

    private fun enqueue(bytes: ByteBuffer, now: Long, isEnd: Boolean) {
        val jitter = faults.jitterMilliseconds
        val bound = jitter * NANOSECONDS_PER_MILLISECOND
        val randomDelay = if (jitter == 0L) 0L else random.nextLong(bound)
        val release = now + faults.delayMilliseconds * NANOSECONDS_PER_MILLISECOND + randomDelay
        lastReleaseNanoseconds = maxOf(lastReleaseNanoseconds, release)
        chunks += Chunk(bytes, lastReleaseNanoseconds, isEnd)
        queuedBytes += bytes.remaining()
    }

    private fun discardQueue() {
        hasDiscardedBytes = hasDiscardedBytes || chunks.isNotEmpty()
        discardedBytes += queuedBytes
        chunks.clear()
        queuedBytes = 0
    }

    private companion object {
        const val MAXIMUM_QUEUED_BYTES = 1_048_576
        const val WRITES_PER_SECOND = 100L
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}

/** Thrown when a connection has forwarded the configured number of bytes. */
internal class ByteLimitReachedException : IOException("reset after the configured number of bytes")
