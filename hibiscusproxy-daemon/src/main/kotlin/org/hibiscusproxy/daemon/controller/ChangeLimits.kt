package org.hibiscusproxy.daemon.controller

import org.hibiscusproxy.daemon.transport.MessageCompression

/**
 * Sizes of changes that a controller with a heap of [heapBytes] can hold; `docs/CAPACITY.md` has the
 * formula. All controllers of a fleet have to have the same heap, since a leader decides for all.
 */
internal class ChangeLimits(heapBytes: Long = Runtime.getRuntime().maxMemory()) {
    /** Largest command in the log, in bytes; with its envelope it fits in one message. */
    val entryBytes: Int = minOf(heapBytes / HEAP_PER_ENTRY, MESSAGE_BYTES).toInt()

    /** Total size in bytes of the changes that are not confirmed, unless it is only one. */
    val pendingBytes: Long = entryBytes * PENDING_ENTRIES

    private companion object {
        /** Copies of the largest entry that a heap is to hold, encoded, parsed and under way. */
        const val HEAP_PER_ENTRY = 24L
        const val PENDING_ENTRIES = 2L
        const val MESSAGE_BYTES = MessageCompression.MAXIMUM_BYTES / 2L
    }
}
