package org.hibiscusproxy.consensus

/**
 * The entries that follow the newest discarded one, in memory, and what of them is durable. Knows
 * the membership at each index, since the newest one counts as soon as it is in the log.
 */
internal class EntryLog(snapshot: Snapshot?, recovered: List<LogEntry>) {
    private val entries = ArrayDeque<LogEntry>()
    private val memberships = ArrayDeque<MembershipAt>()
    private var truncatedFrom: Long? = null

    /** Index of the newest discarded entry, 0 if none was. */
    var baseIndex: Long = snapshot?.index ?: 0
        private set

    /** Term of the entry at [baseIndex]. */
    var baseTerm: Long = snapshot?.term ?: 0
        private set

    /** Index of the newest durable entry. */
    var durableIndex: Long = baseIndex
        private set

    val lastIndex: Long
        get() = baseIndex + entries.size

    val lastTerm: Long
        get() = entries.lastOrNull()?.term ?: baseTerm

    /** The newest membership in the log, committed or not. */
    val membership: Membership
        get() = memberships.last().membership

    /** Index of the entry that set [membership]. */
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

    /** Entries from [first] on, at least one if there is one, up to about [maximumBytes]. */
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

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        entries.add(entry)
        val content = entry.content
        if (content is EntryContent.MembershipEntry) {
            memberships.add(MembershipAt(entry.index, content.membership))
        }
    }

    /** Removes the entries from [index] on. */
    fun truncateFrom(index: Long) {
        check(index > baseIndex) { "entry $index is discarded" }
        while (lastIndex >= index) entries.removeLast()
        while (memberships.last().index >= index) memberships.removeLast()
        if (index <= durableIndex) {
            truncatedFrom = index
            durableIndex = index - 1
        }
    }

    /** Forgets entries up to [index], which are durable and applied. */
    fun discardThrough(index: Long) {
        if (index <= baseIndex) return
        val term = checkNotNull(termAt(index)) { "entry $index does not exist" }
        val membership = membershipAt(index)
        while (baseIndex < index) {
            entries.removeFirst()
            baseIndex++
        }
        baseTerm = term
        while (memberships.isNotEmpty() && memberships.first().index <= index) {
            memberships.removeFirst()
        }
        memberships.addFirst(MembershipAt(index, membership))
    }

    /** Replaces everything by [snapshot], which the storage holds already. */
    fun resetTo(snapshot: Snapshot) {
        entries.clear()
        memberships.clear()
        memberships.add(MembershipAt(snapshot.index, snapshot.membership))
        baseIndex = snapshot.index
        baseTerm = snapshot.term
        durableIndex = snapshot.index
        truncatedFrom = null
    }

    /** Writes to [storage] what it does not hold yet, and syncs it. */
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
