package org.hibiscusproxy.forwarding

/**
 * What one engine is believed to have cached: the parts of the prompts that the entries sent to it,
 * the least recently used ones forgotten beyond [capacityTokens].
 */
internal class PrefixMemory(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Long>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Tokens of [prompt] behind the first part that is not believed cached. */
    fun missing(prompt: Prompt): Long {
        var cached = 0L
        for (part in prompt.parts) {
            if (part.identifier !in parts) break
            cached += part.tokens
        }
        return (prompt.promptTokens - cached).coerceAtLeast(0)
    }

    /** Whether all of [shared] are believed cached. */
    fun holds(shared: List<PromptPart>): Boolean = shared.all { it.identifier in parts }

    /** Remembers that the engine reads or copies [read]. */
    fun add(read: List<PromptPart>) {
        read.forEach { part ->
            val before = parts.put(part.identifier, part.tokens) ?: 0
            tokens += part.tokens - before
        }
        val oldest = parts.entries.iterator()
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
