package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.SentPrompt

/**
 * Collects what this entry sent to engines that lacked it, until the other entries are told. Without
 * it they would name an engine to copy from that never had the prompt.
 */
internal class SentPrompts {
    private val prompts = ArrayDeque<SentPrompt>()

    fun add(target: TargetName, shared: List<PromptPart>) {
        if (prompts.size == CAPACITY) prompts.removeFirst()
        prompts.addLast(SentPrompt(target, shared))
    }

    /** What was added since the last call. */
    fun take(): List<SentPrompt> = prompts.toList().also { prompts.clear() }

    private companion object {
        /** Bounds a report, which is sent four times a second, to about 10 KB. */
        const val CAPACITY = 128
    }
}
