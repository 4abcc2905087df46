package org.hibiscusproxy.consensus

/**
 * The log entries after the last discarded one, in memory, with the index up to which they are
 * durable. Tracks the membership at each index, since a membership takes effect as soon as its
 * entry is in the log.
 */
internal class EntryLog(snapshot: Snapshot?, recovered: List<LogEntry>) {
    private val entries = ArrayDeque<LogEntry>()

    /** Size of all entries appended up to each of [entries]. */
    private val ends = ArrayDeque<Long>()
    private var baseEnd = 0L
    private val memberships = ArrayDeque<MembershipAt>()
    private var truncatedFrom: Long? = null

    /** Index of the last discarded entry, 0 if there is none. */
    var baseIndex: Long = snapshot?.index ?: 0
        private set

    /** Term of the entry at [baseIndex]. */
    var baseTerm: Long = snapshot?.term ?: 0
        private set

    /** Index of the last durable entry. */
    var durableIndex: Long = baseIndex
        private set

    val lastIndex: Long
        get() = baseIndex + entries.size

    val lastTerm: Long
        get() = entries.lastOrNull()?.term ?: baseTerm

    /** The latest membership in the log, committed or not. */
    val membership: Membership
        get() = memberships.last().membership

    /** Index of the entry that holds [membership]. */
    val membershipIndex: Long
        get() = memberships.last().index

    init {
        memberships.add(MembershipAt(baseIndex, snapshot?.membership ?: Membership.EMPTY))
        recovered.forEach(::append)
        durableIndex = lastIndex
    }

    /** Term of the entry at [index], or null if it is discarded or does not exist. */
    fun termAt(index: Long): Long? = when {
        index == baseIndex -> baseTerm
        index < baseIndex || index > lastIndex -> null
        else -> entries[position(index)].term
    }

    operator fun get(index: Long): LogEntry = entries[position(index)]

    /** The membership as of [index], which is not discarded. */
    fun membershipAt(index: Long): Membership = memberships.last { it.index <= index }.membership

    /** Entries from [first] on, up to about [maximumBytes] but at least one if any exists. */
    fun batch(first: Long, maximumBytes: Int): List<LogEntry> {
        val batch = mutableListOf<LogEntry>()
        var bytes = 0
        for (index in first..lastIndex) {
            val entry = this[index]
            bytes += entry.approximateBytes
            if (batch.isNotEmpty() && bytes > maximumBytes) break
            batch.add(entry)
        }
        return batch
    }

    /** Size of the entries after [first] up to [last], which are not discarded. */
    fun bytesBetween(first: Long, last: Long): Long = endOf(last) - endOf(first)

    private fun endOf(index: Long): Long =
        if (index == baseIndex) baseEnd else ends[position(index)]

    /** Number of entries up to [last], at most [maximumEntries] with at most [maximumBytes]. */
    fun trailing(last: Long, maximumEntries: Int, maximumBytes: Long): Int {
        var bytes = 0L
        return (last downTo baseIndex + 1).asSequence()
            .take(maximumEntries)
            .map { this[it].approximateBytes }
            .takeWhile { size ->
                bytes += size
                bytes <= maximumBytes
            }
            .count()
    }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        ends.add((ends.lastOrNull() ?: baseEnd) + entry.approximateBytes)
        entries.add(entry)
        val content = entry.content
        if (content is EntryContent.MembershipEntry) {
            memberships.add(MembershipAt(entry.index, content.membership))
        }
    }

    /** Removes the entries from [index] on. */
    fun truncateFrom(index: Long) {
        check(index > baseIndex) { "entry $index is discarded" }
        while (lastIndex >= index) {
            entries.removeLast()
            ends.removeLast()
        }
        while (memberships.last().index >= index) memberships.removeLast()
        if (index <= durableIndex) {
            truncatedFrom = index
            durableIndex = index - 1
        }
    }

    /** Drops entries up to [index], which are durable and applied. */
    fun discardThrough(index: Long) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "entry $index does not exist" }
        val membership = membershipAt(index)
        while (baseIndex < index) {
            entries.removeFirst()
            baseEnd = ends.removeFirst()
            baseIndex++
        }
        baseTerm = term
        while (memberships.isNotEmpty() && memberships.first().index <= index) {
            memberships.removeFirst()
        }
        memberships.addFirst(MembershipAt(index, membership))
    }

    /** Replaces the whole log by [snapshot], which is already in the storage. */
    fun resetTo(snapshot: Snapshot) {
        entries.clear()
        ends.clear()
        memberships.clear()
        memberships.add(MembershipAt(snapshot.index, snapshot.membership))
        baseIndex = snapshot.index
        baseTerm = snapshot.term
        durableIndex = snapshot.index
        truncatedFrom = null
    }

    /** Writes pending truncations and entries to [storage] and syncs it. */
    fun persist(storage: LogStorage) {
        truncatedFrom?.let { storage.truncateFrom(it).orFail() }
        truncatedFrom = null
        if (durableIndex == lastIndex) return
        val first = position(durableIndex + 1)
        storage.append(entries.subList(first, entries.size)).orFail()
        storage.sync().orFail()
        durableIndex = lastIndex
    }

    private fun position(index: Long): Int = (index - baseIndex - 1).toInt()

    private data class MembershipAt(val index: Long, val membership: Membership)
}
