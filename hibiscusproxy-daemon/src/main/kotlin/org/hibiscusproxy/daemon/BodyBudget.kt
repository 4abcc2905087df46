package org.hibiscusproxy.daemon

import java.util.concurrent.atomic.AtomicLong

/**
 * Bytes of request bodies that a role holds at one time. Without a limit, a few dozen long
 * prompts that arrive together exhaust its heap. The count is atomic, there is no lock.
 */
internal class BodyBudget(private val limitBytes: Long) {
    private val held = AtomicLong()

    /** Takes [bytes], or returns false when they would exceed the limit. */
    fun tryReserve(bytes: Int): Boolean {
        if (held.addAndGet(bytes.toLong()) <= limitBytes) return true
        held.addAndGet(-bytes.toLong())
        return false
    }

    /** Gives [bytes] back. */
    fun release(bytes: Int) {
        held.addAndGet(-bytes.toLong())
    }

    companion object {
        /** Leaves room for the copies that encoding makes, and for everything else. */
        private const val HEAP_SHARE = 3

        /** Budget that suits the heap of this process. */
        fun ofHeap(): BodyBudget = BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE)
    }
}
