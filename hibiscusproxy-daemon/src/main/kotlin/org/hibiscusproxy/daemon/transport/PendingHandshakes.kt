package org.hibiscusproxy.daemon.transport

/**
 * Bounds the accepted connections that have not authenticated. The oldest one is closed for a new
 * one: a process of the fleet needs a few milliseconds, while others may stay until the deadline of
 * the handshake. Safe for concurrent use.
 *
 * @param maximum number of connections
 */
internal class PendingHandshakes<T : AutoCloseable>(private val maximum: Int) {
    private val pending = LinkedHashSet<T>()

    /** Adds [connection] and returns whether another one was closed for it. */
    fun add(connection: T): Boolean {
        val oldest = synchronized(pending) {
            val removed = if (pending.size >= maximum) pending.first() else null
            removed?.let(pending::remove)
            pending += connection
            removed
        }
        oldest?.close()
        return oldest != null
    }

    /** Removes [connection], which has authenticated or was closed. */
    fun remove(connection: T) {
        synchronized(pending) { pending -= connection }
    }
}
