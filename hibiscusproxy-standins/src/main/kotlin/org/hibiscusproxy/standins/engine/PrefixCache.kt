package org.hibiscusproxy.standins.engine

/**
 * Least recently used cache of prompt prefixes in blocks. Not safe for concurrent use.
 *
 * @param capacity blocks that fit
 * @param observer told of each stored and removed block
 */
class PrefixCache(private val capacity: Int, private val observer: CacheObserver) {
    private val blocks = LinkedHashMap<Long, Unit>(16, 0.75f, true)

    /** Blocks held at present. */
    val size: Int get() = blocks.size

    /** Tokens at the start of [prompt] that are cached; marks them as used. */
    fun lookUp(prompt: PromptTokens): Int {
        val known = prompt.blocks.indexOfFirst { it !in blocks }
        val cached = if (known < 0) prompt.blocks.size else known
        touch(prompt.blocks, cached)
        return cached * PromptTokens.BLOCK_TOKENS
    }

    /** Whether the block named [block] is held, without marking it as used. */
    operator fun contains(block: Long): Boolean = block in blocks

    /**
     * Stores the chain [chain] and removes the blocks used longest ago if room is needed.
     *
     * @param requestId request whose tokens they are, null for an import
     */
    fun store(chain: LongArray, requestId: String?) {
        val kept = minOf(chain.size, capacity)
        val added = (0 until kept).map { chain[it] }.filter { it !in blocks }
        added.forEach { blocks[it] = Unit }
        touch(chain, kept)
        val removed = ArrayList<Long>()
        val oldest = blocks.keys.iterator()
        while (blocks.size - removed.size > capacity) removed += oldest.next()
        removed.forEach(blocks::remove)
        if (added.isNotEmpty()) observer.stored(added, requestId)
        if (removed.isNotEmpty()) observer.removed(removed)
    }

    /** Removes everything. */
    fun clear() {
        blocks.clear()
        observer.cleared()
    }

    /** The end of a chain is useless without its start, so the start counts as used last. */
    private fun touch(chain: LongArray, count: Int) {
        for (index in count - 1 downTo 0) blocks[chain[index]]
    }
}

/** Learns of changes of a [PrefixCache]. */
interface CacheObserver {
    /** [blocks] were added, in chain order, by the request [requestId] or by an import. */
    fun stored(blocks: List<Long>, requestId: String?)

    /** [blocks] were removed to make room. */
    fun removed(blocks: List<Long>)

    /** All blocks were removed. */
    fun cleared()
}
