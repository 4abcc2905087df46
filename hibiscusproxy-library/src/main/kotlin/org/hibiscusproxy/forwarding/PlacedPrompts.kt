package org.hibiscusproxy.forwarding

import org.hibiscusproxy.protocol.SentPrompt

/** Records which prompts engines read, and queues those that other forwarders should know of. */
internal class PlacedPrompts {
    private val sent = SentPromptQueue()

    /** Removes and returns prompts for the next report. */
    fun takeSent(): List<SentPrompt> = sent.take()

    /** Records that [prompt] is sent to [state]. Returns the parts that it did not have cached. */
    fun begin(prompt: Prompt, state: TargetState): List<PromptPart> {
        val missing = state.prefixCache.missing(prompt)
        val shared = prompt.sharedParts
        if (!state.prefixCache.containsAll(shared)) sent.add(SentPrompt(state.listed.name, shared))
        state.prefixCache.add(prompt.parts)
        return missing
    }

    /**
     * Records the [result] of [attempt]. An engine that failed or was lost before it answered has
     * probably not read the prompt; without this, later prompts would go there to be read again.
     */
    fun end(attempt: PlacedAttempt, result: AttemptResult) {
        val prompt = attempt.prompt ?: return
        val state = attempt.state ?: return
        val isRead = attempt.isAnswered && result != AttemptResult.FAILED
        if (isRead) {
            state.prefixCache.add(prompt.sharedParts)
        } else if (attempt.addedParts.isNotEmpty()) {
            state.prefixCache.remove(attempt.addedParts)
            sent.remove(state.listed.name, prompt.sharedParts)
        }
    }
}
