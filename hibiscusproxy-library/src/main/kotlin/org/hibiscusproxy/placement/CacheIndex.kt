package org.hibiscusproxy.placement

/**
 * Estimate of the prefixes in an engine's cache, kept by its sidecar. It is based on the requests
 * that ran and corrected by the engine's cache events, which arrive late and with gaps. It is only
 * a hint for placement; correctness must not depend on it.
 *
 * Thread-safe: every call holds the monitor of this object and acquires no other lock.
 *
 * @property capacity maximum number of prefixes; the least recently used one is evicted
 */
class CacheIndex(private val capacity: Int = DEFAULT_CAPACITY_PREFIXES) {
    private val states = object : LinkedHashMap<PrefixKey, CacheState>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PrefixKey, CacheState>) =
            size > capacity
    }
    private var latestEvent = 0L

    /** Number of missed events; the index is unreliable if it is high. */
    @get:Synchronized
    var missedEvents = 0L
        private set

    /** Records that the engine ran a request with prefix [key]. */
    @Synchronized
    fun recordRun(key: PrefixKey) {
        states[key] = CacheState.CACHED
    }

    /** Records a restart of the engine, which empties its cache. */
    @Synchronized
    fun recordRestart() {
        states.clear()
        latestEvent = 0
    }

    /**
     * Applies the engine's event [number]. Events up to the latest known number are duplicates
     * from a page that was read again, and are ignored. A gap may hide removals, so cached prefixes
     * become unknown until an event or a request confirms them.
     */
    @Synchronized
    fun apply(number: Long, event: CacheEvent) {
        if (number <= latestEvent) return
        val missed = if (latestEvent == 0L) 0 else number - latestEvent - 1
        if (missed > 0) {
            missedEvents += missed
            states.replaceAll { _, state -> state.afterGap() }
        }
        latestEvent = number
        when (event) {
            is CacheEvent.Stored -> states[event.key] = CacheState.CACHED
            is CacheEvent.Removed -> states[event.key] = CacheState.NOT_CACHED
            CacheEvent.Cleared -> states.clear()
        }
    }

    /** Returns the estimated state of [key]. */
    @Synchronized
    fun stateOf(key: PrefixKey): CacheState = states[key] ?: CacheState.UNKNOWN

    private fun CacheState.afterGap(): CacheState = when (this) {
        CacheState.CACHED, CacheState.UNKNOWN -> CacheState.UNKNOWN
        CacheState.NOT_CACHED -> CacheState.NOT_CACHED
    }

    private companion object {
        const val DEFAULT_CAPACITY_PREFIXES = 4_000
    }
}

/** Estimated state of one prefix in an engine's cache. */
enum class CacheState {
    /** Cached, according to the latest information. */
    CACHED,

    /** Removed, according to the latest information. */
    NOT_CACHED,

    /** No information, or only from before a gap. */
    UNKNOWN,
}

/** An event of an engine's prefix cache. */
sealed class CacheEvent {
    /** A prefix was stored. */
    data class Stored(val key: PrefixKey) : CacheEvent()

    /** A prefix was evicted. */
    data class Removed(val key: PrefixKey) : CacheEvent()

    /** The cache was cleared. */
    data object Cleared : CacheEvent()
}
