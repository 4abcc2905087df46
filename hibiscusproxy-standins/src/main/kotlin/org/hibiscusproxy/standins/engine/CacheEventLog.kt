package org.hibiscusproxy.standins.engine

import kotlin.random.Random
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happened to the blocks of a [CacheEvent]. */
@Serializable
enum class CacheEventKind {
    /** The blocks are cached now. */
    @SerialName("stored")
    STORED,

    /** The blocks are no longer cached. */
    @SerialName("removed")
    REMOVED,

    /** No block is cached any more. */
    @SerialName("cleared")
    CLEARED,
}

/**
 * A change of an engine's prefix cache.
 *
 * @property sequence counts from 1; a lost event leaves a gap
 * @property blocks block names in hexadecimal, in chain order
 * @property requestId request that stored the blocks; null for other events and imports
 */
@Serializable
data class CacheEvent(
    val sequence: Long,
    val kind: CacheEventKind,
    val blocks: List<String>,
    val requestId: String?,
)

/**
 * Answer to `GET /cache-events`.
 *
 * @property lastStartMilliseconds start of the engine, since the epoch; sequences begin again there
 * @property next value of `after` for the next question
 */
@Serializable
data class CacheEventPage(
    val engine: String,
    val lastStartMilliseconds: Long,
    val events: List<CacheEvent>,
    val next: Long,
)

/**
 * The engine's published cache events: late by a fixed time, some lost, the newest few kept. Not
 * safe for concurrent use.
 *
 * @param now monotonic time in nanoseconds
 */
class CacheEventLog(
    private val options: EngineOptions,
    private val startMilliseconds: Long,
    private val now: () -> Long,
) : CacheObserver {
    private class Entry(val atNanoseconds: Long, val event: CacheEvent)

    private val random = Random(options.seed)
    private val entries = ArrayDeque<Entry>()
    private var sequence = 0L

    override fun stored(blocks: List<Long>, requestId: String?) =
        add(CacheEventKind.STORED, blocks, requestId)

    override fun removed(blocks: List<Long>) = add(CacheEventKind.REMOVED, blocks)

    override fun cleared() = add(CacheEventKind.CLEARED, emptyList())

    /** Events after number [after] that are old enough to be published. */
    fun after(after: Long): CacheEventPage {
        val newest = now() - options.eventLagMilliseconds * NANOSECONDS_PER_MILLISECOND
        val events = entries
            .filter { it.event.sequence > after && it.atNanoseconds - newest <= 0 }
            .map { it.event }
        val next = events.lastOrNull()?.sequence ?: after
        return CacheEventPage(options.name, startMilliseconds, events, next)
    }

    private fun add(kind: CacheEventKind, blocks: List<Long>, requestId: String? = null) {
        sequence++
        if (random.nextDouble() < options.eventGapShare) return
        if (entries.size == MAXIMUM_ENTRIES) entries.removeFirst()
        val names = blocks.map { it.toULong().toString(radix = 16) }
        val event = CacheEvent(sequence, kind, names, requestId)
        entries += Entry(now(), event)
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 2_000
    }
}

internal const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
