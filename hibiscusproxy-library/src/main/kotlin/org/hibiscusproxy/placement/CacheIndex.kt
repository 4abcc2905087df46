package org.hibiscusproxy.placement

/**
 * What a sidecar believes its engine has cached: prefixes of requests it ran, corrected by the
 * engine's cache events, which come late and with gaps. It is a hint for placement only; nothing
 * is admitted, refused or answered for correctness by it.
 *
 * Lock: the index itself, held for single reads and updates; no other lock is taken inside.
 *
 * @property capacity prefixes kept, the least recently used one goes first
 */
class CacheIndex(private val capacity: Int = DEFAULT_CAPACITY) {
    private val known = object : LinkedHashMap<PrefixKey, CacheState>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PrefixKey, CacheState>) =
            size > capacity
    }
    private var newestEvent = 0L

    /** Event numbers that never came; a high share means that the index is a poor hint. */
    @get:Synchronized
    var missedEvents = 0L
        private set

    /** The engine ran a request with this prefix. */
    @Synchronized
    fun recordRun(key: PrefixKey) {
        known[key] = CacheState.CACHED
    }

    /** The engine restarted: everything it had cached is gone. */
    @Synchronized
    fun recordRestart() {
        known.clear()
        newestEvent = 0
    }

    /**
     * Takes the engine's event [number]. Events at or before the newest one known are repeats of a
     * page and change nothing. A gap may hide removals, so what was believed cached before it
     * becomes unknown until an event or a request confirms it.
     */
    @Synchronized
    fun apply(number: Long, event: CacheEvent) {
        if (number <= newestEvent) return
        val missed = if (newestEvent == 0L) 0 else number - newestEvent - 1
        if (missed > 0) {
            missedEvents += missed
            known.replaceAll { _, knowledge -> knowledge.afterGap() }
        }
        newestEvent = number
        when (event) {
            is CacheEvent.Stored -> known[event.key] = CacheState.CACHED
            is CacheEvent.Removed -> known[event.key] = CacheState.NOT_CACHED
            CacheEvent.Cleared -> known.clear()
        }
    }

    /** Belief about [key]. */
    @Synchronized
    fun stateOf(key: PrefixKey): CacheState = known[key] ?: CacheState.UNKNOWN

    private fun CacheState.afterGap(): CacheState = when (this) {
        CacheState.CACHED, CacheState.UNKNOWN -> CacheState.UNKNOWN
        CacheState.NOT_CACHED -> CacheState.NOT_CACHED
    }

    private companion object {
        const val DEFAULT_CAPACITY = 4_000
    }
}

/** Belief about one prefix in an engine's cache. */
enum class CacheState {
    /** It was cached when last heard of. */
    CACHED,

    /** It was removed when last heard of. */
    NOT_CACHED,

    /** Never heard of, or heard of before a gap. */
    UNKNOWN,
}

/** One event of an engine about its prefix cache. */
sealed class CacheEvent {
    /** A prefix was stored. */
    data class Stored(val key: PrefixKey) : CacheEvent()

    /** A prefix was removed to make room. */
    data class Removed(val key: PrefixKey) : CacheEvent()

    /** The whole cache was emptied. */
    data object Cleared : CacheEvent()
}
