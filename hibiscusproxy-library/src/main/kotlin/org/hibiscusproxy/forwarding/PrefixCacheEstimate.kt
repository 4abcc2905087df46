package org.hibiscusproxy.forwarding

/**
 * Estimate of the prompt parts in one engine's prefix cache, based on the prompts that forwarders
 * sent to it. Evicts the least recently used parts when they exceed the capacity of the cache.
 */
internal class PrefixCacheEstimate(capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Tokens that the cache holds; not known before the routing is. */
    var capacityTokens = capacityTokens
        set(value) {
            field = value
            evict()
        }

    /** Prompt tokens that follow the longest cached prefix of [prompt]. */
    fun uncachedTokens(prompt: Prompt): Long {
        var cached = 0L
        for (part in prompt.parts) {
            if (part.identifier !in parts) break
            cached += part.tokens
        }
        return (prompt.promptTokens - cached).coerceAtLeast(0)
    }

    /** Whether all of [shared] are estimated to be cached. */
    fun containsAll(shared: List<PromptPart>): Boolean = shared.all { it.identifier in parts }

    /** Records that the engine prefills or copies [stored]. */
    fun add(stored: List<PromptPart>) {
        stored.forEach { part ->
            val before = parts.put(part.identifier, part.tokens) ?: 0
            tokens += part.tokens - before
        }
        evict()
    }

    /** Records that the engine did not store [unread]. */
    fun remove(unread: List<PromptPart>) = unread.forEach { part ->
        parts.remove(part.identifier)?.let { tokens -= it }
    }

    /** Parts of [prompt] that are not estimated to be cached. */
    fun missing(prompt: Prompt): List<PromptPart> = prompt.parts.filter { it.identifier !in parts }

    private fun evict() {
        val oldest = parts.entries.iterator()
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
