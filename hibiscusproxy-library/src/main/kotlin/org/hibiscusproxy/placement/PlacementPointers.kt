package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/**
 * Pointers of one sidecar for chats whose home is its target: "this chat went to X". Bounded, the
 * least recently used one goes first; a lost pointer costs one prefill and nothing else.
 *
 * Lock: the table itself, held for single reads and updates; no other lock is taken inside.
 *
 * @property own target of the sidecar
 * @property capacity pointers kept; 16 million chats over 10,000 targets make 1,600 each
 */
class PlacementPointers(private val own: TargetName, private val capacity: Int = 1_600) {
    private val targets = object : LinkedHashMap<PrefixKey, TargetName>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PrefixKey, TargetName>) =
            size > capacity
    }

    init {
        require(capacity > 0) { "capacity must be positive: $capacity" }
    }

    /** Pointers kept at present. */
    @get:Synchronized
    val size: Int get() = targets.size

    /** The chat with [key] was admitted at [target]; its own target needs no pointer. */
    @Synchronized
    fun record(key: PrefixKey, target: TargetName) {
        if (target == own) targets.remove(key) else targets[key] = target
    }

    /** Where the chat with [key] went, or null when it is not known to be elsewhere. */
    @Synchronized
    fun targetOf(key: PrefixKey): TargetName? = targets[key]

    /** Forgets all pointers to [target], whose cache is lost. */
    @Synchronized
    fun removeAll(target: TargetName) {
        targets.values.removeIf { it == target }
    }
}
