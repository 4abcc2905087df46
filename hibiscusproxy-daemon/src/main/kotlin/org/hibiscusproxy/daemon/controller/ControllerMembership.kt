package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.consensus.MembershipReconciler
import org.hibiscusproxy.model.ProcessName

/** Who may belong to the control cluster, and who decides about it. */
sealed class ControllerMembership {
    /** Decides changes at the leader; null when operators do. */
    abstract val reconciler: MembershipReconciler?

    /** Whether messages of the log are taken from [process]. */
    abstract fun mayJoin(process: ProcessName): Boolean

    /** The settings list all controllers; an operator replaces lost ones. */
    class Listed(private val controllers: Set<ProcessName>) : ControllerMembership() {
        override val reconciler: MembershipReconciler? get() = null

        override fun mayJoin(process: ProcessName): Boolean = process in controllers
    }

    /**
     * Controllers are named by their peer addresses and join by introducing themselves. Any process
     * with the fleet key may.
     *
     * @param toleratedLosses controllers that may be lost at once
     */
    class Automatic(toleratedLosses: Int) : ControllerMembership() {
        override val reconciler = MembershipReconciler(2 * toleratedLosses + 1, SILENCE_LIMIT)

        override fun mayJoin(process: ProcessName): Boolean = true
    }

    private companion object {
        /** Longer than a restart or a usual partition; a member that returns later joins again. */
        val SILENCE_LIMIT = 10.seconds
    }
}
