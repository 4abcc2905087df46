package org.hibiscusproxy.forwarding

import org.hibiscusproxy.protocol.SentPrompt

/**
 * What entries sent to engines that lacked it, until the others are told. Without it they would name
 * an engine to copy from that never had the prompt. Told a few at a time, oldest first, so that the
 * traffic stays small however many prompts are new; what is dropped is only read or copied again.
 */
class SentPromptQueue {
    private val prompts = ArrayDeque<SentPrompt>()

    /** Whether nothing waits. */
    val isEmpty: Boolean get() = prompts.isEmpty()

    /** Adds [sent], and drops the oldest beyond the capacity. */
    fun add(sent: SentPrompt) {
        if (prompts.size == CAPACITY) prompts.removeFirst()
        prompts.addLast(sent)
    }

    /** Removes the oldest ones, as many as one message carries. */
    fun take(): List<SentPrompt> =
        List(minOf(prompts.size, MESSAGE_PROMPTS)) { prompts.removeFirst() }

    private companion object {
        /** Eight seconds of messages; placements that are older help little. */
        const val CAPACITY = 256

        /** With about 75 bytes each and four messages a second, 2.4 KB/s of the 3 KB/s of a node. */
        const val MESSAGE_PROMPTS = 8
    }
}
