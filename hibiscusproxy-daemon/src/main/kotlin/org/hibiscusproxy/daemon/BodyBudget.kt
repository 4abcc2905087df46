package org.hibiscusproxy.daemon

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the total size of the request bodies that a role holds in memory. Without a limit, a few
 * dozen long prompts that arrive at the same time exhaust the heap. Lock-free: the count is atomic.
 */
internal class BodyBudget(private val limitBytes: Long) {
    private val reserved = AtomicLong()

    /** Reserves [bytes]; returns false when they would exceed the limit. */
    fun tryReserve(bytes: Int): Boolean {
        if (reserved.addAndGet(bytes.toLong()) <= limitBytes) return true
        reserved.addAndGet(-bytes.toLong())
        return false
    }

    /** Releases [bytes] that were reserved. */
    fun release(bytes: Int) {
        reserved.addAndGet(-bytes.toLong())
    }

    companion object {
        /** The rest of the heap is for copies made by encoding and for all other objects. */
        private const val HEAP_DIVISOR = 3

        /** Budget of a fixed share of the maximum heap size. */
        fun ofHeap(): BodyBudget = BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)
    }
}
