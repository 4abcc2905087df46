package org.hibiscusproxy.standins.engine

/**
 * Prefix cache of fixed-size token blocks with least-recently-used eviction. Not thread-safe.
 *
 * @param capacity maximum number of blocks
 * @param observer notified of stored and removed blocks
 */
class PrefixCache(private val capacity: Int, private val observer: CacheObserver) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)

    /** Number of cached blocks. */
    val size: Int get() = blocks.size

    /** Number of tokens in the longest cached prefix of [prompt]; marks its blocks as used. */
    fun lookUp(prompt: PromptTokens): Int {
        val firstUncached = prompt.blocks.indexOfFirst { it !in blocks }
        val cached = if (firstUncached < 0) prompt.blocks.size else firstUncached
        touch(prompt.blocks, cached)
        return cached * PromptTokens.BLOCK_TOKENS
    }

    /** Whether the block with the hash [block] is cached; does not mark it as used. */
    operator fun contains(block: Long): Boolean = block in blocks

    /**
     * Stores the block hashes [chain] of a prefix and evicts the least recently used blocks when
     * the cache exceeds its capacity.
     *
     * @param requestId request that computed the blocks; null for an import
     */
    fun store(chain: LongArray, requestId: String?) {
        val storedCount = minOf(chain.size, capacity)
        val added = (0 until storedCount).map { chain[it] }.filter { it !in blocks }
        added.forEach { blocks[it] = Unit }
        touch(chain, storedCount)
        val removed = ArrayList<Long>()
        val oldest = blocks.keys.iterator()
        while (blocks.size - removed.size > capacity) removed += oldest.next()
        removed.forEach(blocks::remove)
        if (added.isNotEmpty()) observer.stored(added, requestId)
        if (removed.isNotEmpty()) observer.removed(removed)
    }

    /** Evicts all blocks. */
    fun clear() {
        blocks.clear()
        observer.cleared()
    }

    /** Marks the start of [chain] as most recently used, as later blocks are useless without it. */
    private fun touch(chain: LongArray, count: Int) {
        for (index in count - 1 downTo 0) blocks[chain[index]]
    }
}

/** Observer of changes to a [PrefixCache]. */
interface CacheObserver {
    /** Called when [requestId], or an import when null, added [blocks], given in prefix order. */
    fun stored(blocks: List<Long>, requestId: String?)

    /** Called when [blocks] were evicted because the cache was full. */
    fun removed(blocks: List<Long>)

    /** Called when all blocks were evicted. */
    fun cleared()
}
