package org.hibiscusproxy.placement

/** LRU cache of prompt blocks. The cached prefix of a prompt ends at its first missing block. */
internal class FakePrefixCache(private val capacityBlocks: Int) {
    private val blocks = object : LinkedHashMap<Long, Unit>(1024, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>) =
            size > capacityBlocks
    }

    /** Returns the number of leading blocks of the turn's prompt that are cached. */
    fun cached(turn: Turn): Int {
        var count = 0
        while (count < turn.promptBlocks && turn.block(count) in blocks) count++
        return count
    }

    /** Stores the first [count] blocks, the last one first, so that prefixes are evicted last. */
    fun store(turn: Turn, count: Int) {
        for (index in count - 1 downTo 0) blocks[turn.block(index)] = Unit
    }

    fun clear() = blocks.clear()
}

/**
 * Simplified model of an engine: sequential prefill, concurrent decoding, a prefix cache, and a
 * cold phase in which prefill is slow, and much slower with more than [coldCapacity] requests.
 */
internal class FakeEngine(cacheBlocks: Int, private val coldCapacity: Int) {
    val cache = FakePrefixCache(cacheBlocks)
    var running = 0
    var coldUntilMillis = 0.0
    private var prefillFreeAtMillis = 0.0

    class Timing(val firstTokenMillis: Double, val endMillis: Double, val cachedBlocks: Int)

    fun isCold(nowMillis: Double) = nowMillis < coldUntilMillis

    fun start(turn: Turn, nowMillis: Double): Timing {
        running++
        val cached = cache.cached(turn)
        cache.store(turn, turn.promptBlocks)
        val tokens = (turn.promptBlocks - cached) * ExperimentLoad.BLOCK_TOKENS
        val slowdown = when {
            !isCold(nowMillis) -> 1.0
            running <= coldCapacity -> 4.0
            else -> 4.0 * running * running / (coldCapacity * coldCapacity)
        }
        val prefill = 20 + tokens * slowdown / PREFILL_TOKENS_PER_MILLISECOND
        val start = maxOf(nowMillis, prefillFreeAtMillis)
        prefillFreeAtMillis = start + prefill
        val first = start + prefill
        val end = first + turn.answerBlocks * ExperimentLoad.BLOCK_TOKENS * DECODE_MILLIS
        return Timing(first, end, cached)
    }

    fun finish(turn: Turn) {
        running--
        cache.store(turn, turn.promptBlocks + turn.answerBlocks)
    }

    /** Restarts the engine cold and with an empty cache. */
    fun restart(nowMillis: Double) {
        cache.clear()
        prefillFreeAtMillis = nowMillis
        coldUntilMillis = nowMillis + COLD_MILLIS
    }

    private companion object {
        const val PREFILL_TOKENS_PER_MILLISECOND = 8.0
        const val DECODE_MILLIS = 20.0
        const val COLD_MILLIS = 20_000.0
    }
}
