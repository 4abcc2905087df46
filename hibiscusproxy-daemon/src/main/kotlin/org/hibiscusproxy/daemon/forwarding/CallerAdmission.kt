package org.hibiscusproxy.daemon.forwarding

/**
 * Bounds the connections of callers. The connection that has been idle longest is closed for a new
 * one; with none idle, the new one is not admitted. Used on the event loop only.
 *
 * @param maximum number of connections that are open at once
 */
internal class CallerAdmission(private val maximum: Int, private val log: RequestLog) {
    private val open = LinkedHashSet<CallerConnection>()

    /** Connections that are open. */
    val connections: Collection<CallerConnection> get() = open

    /** Admits [caller] and returns true, or returns false if there is no room for it. */
    fun admit(caller: CallerConnection): Boolean {
        if (open.size >= maximum) {
            val idle = open.filter { it.isIdle }.minByOrNull { it.lastProgress }
            log.connectionClosed(open.size, isNew = idle == null)
            if (idle == null) return false
            open -= idle
            idle.closeForOthers()
        }
        open += caller
        return true
    }

    /** Forgets [caller], whose connection was closed. */
    fun remove(caller: CallerConnection) {
        open -= caller
    }

    companion object {
        /** Descriptors of listeners, logs, libraries and connections to controllers. */
        private const val RESERVED = 200

        /** A caller with a request in progress needs another descriptor for its target. */
        private const val DESCRIPTORS_PER_CALLER = 2

        /** Lets a process with a very low limit serve a few callers. */
        private const val MINIMUM = 16

        /** Number of connections for a process that may open [descriptors]. */
        fun defaultMaximum(descriptors: Int): Int =
            maxOf((descriptors - RESERVED) / DESCRIPTORS_PER_CALLER, MINIMUM)
    }
}
