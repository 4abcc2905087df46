package org.hibiscusproxy.forwarding

/** What a response says about the load and the speed of its target. */
sealed class LoadStatement {
    /**
     * The target holds [running] and [waiting] requests of all forwarders and runs [slots] at once.
     *
     * @property slowness how long work takes at the moment, relative to the target's usual time;
     * null if not stated
     */
    data class Known(
        val running: Int,
        val waiting: Int,
        val slots: Int,
        val slowness: Double? = null,
    ) : LoadStatement() {
        /** Requests that the target holds. */
        val total: Int get() = running + waiting
    }

    /** The target states nothing. */
    data object None : LoadStatement()

    /** The target states something that cannot be read, and that is ignored. */
    data object Malformed : LoadStatement()
}
