package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.SentPrompt

/**
 * Prompts sent to engines that did not have them cached, queued until the other forwarders are
 * notified. Without these notifications, forwarders would name an engine to copy from that never
 * had the prompt. Prompts are sent in small batches, oldest first, which bounds the traffic when
 * many prompts are new. Dropping a prompt only costs another prefill or copy.
 */
class SentPromptQueue {
    private val prompts = ArrayDeque<SentPrompt>()

    val isEmpty: Boolean get() = prompts.isEmpty()

    /** Adds [sent]; drops the oldest prompt when the queue is full. */
    fun add(sent: SentPrompt) {
        if (prompts.size == CAPACITY_PROMPTS) prompts.removeFirst()
        prompts.addLast(sent)
    }

    /** Removes the prompt with [parts] that [target] did not read after all. */
    fun remove(target: TargetName, parts: List<PromptPart>) {
        prompts.remove(SentPrompt(target, parts))
    }

    /** Removes and returns the oldest prompts, up to the size of one message. */
    fun take(): List<SentPrompt> =
        List(minOf(prompts.size, PROMPTS_PER_MESSAGE)) { prompts.removeFirst() }

    private companion object {
        /** Eight seconds of messages; older placements are of little use. */
        const val CAPACITY_PROMPTS = 256

        /** At 75 bytes a prompt and 4 messages/s, 2.4 KB/s of the 3 KB/s that a node may use. */
        const val PROMPTS_PER_MESSAGE = 8
    }
}
