package org.hibiscusproxy.placement

import org.hibiscusproxy.model.TargetName

/**
 * Forwarding pointers kept by one sidecar: for chats that prefer its target but were placed
 * elsewhere, the target that ran them. The least recently used pointer is evicted first; a lost
 * pointer only costs one prefill.
 *
 * Thread-safe: every call holds the monitor of this object and acquires no other lock.
 *
 * @property own target of the sidecar
 * @property capacity maximum number of pointers: 16 million chats on 10,000 targets are 1,600 each
 */
class PlacementPointers(private val own: TargetName, private val capacity: Int = 1_600) {
    private val targets = object : LinkedHashMap<PrefixKey, TargetName>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<PrefixKey, TargetName>) =
            size > capacity
    }

    init {
        require(capacity > 0) { "capacity must be positive: $capacity" }
    }

    /** Current number of pointers. */
    @get:Synchronized
    val size: Int get() = targets.size

    /** Records that [target] admitted the chat with [key]; removes the pointer if it is [own]. */
    @Synchronized
    fun record(key: PrefixKey, target: TargetName) {
        if (target == own) targets.remove(key) else targets[key] = target
    }

    /** Returns the other target that runs the chat with [key], or null if none is known. */
    @Synchronized
    fun targetOf(key: PrefixKey): TargetName? = targets[key]

    /** Removes all pointers to [target], whose cache was lost. */
    @Synchronized
    fun removeAll(target: TargetName) {
        targets.values.removeIf { it == target }
    }
}
