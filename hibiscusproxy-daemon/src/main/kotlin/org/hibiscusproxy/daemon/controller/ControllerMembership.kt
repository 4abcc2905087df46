package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.consensus.MembershipReconciler
import org.hibiscusproxy.model.ProcessName

/** Rules for which processes belong to the control cluster. */
sealed class ControllerMembership {
    /** Determines membership changes on the leader; null if operators make them. */
    abstract val reconciler: MembershipReconciler?

    /** Number of controllers that may fail or lose their disks at the same time. */
    abstract val toleratedLosses: Int

    /** Whether consensus messages from [process] are accepted. */
    abstract fun mayJoin(process: ProcessName): Boolean

    /** The settings list all controllers, and operators replace lost ones. */
    class Listed(private val controllers: Set<ProcessName>) : ControllerMembership() {
        override val reconciler: MembershipReconciler? get() = null

        override val toleratedLosses: Int get() = controllers.size / 2

        override fun mayJoin(process: ProcessName): Boolean = process in controllers
    }

    /**
     * Controllers are named by their peer addresses and join by announcing themselves. Any process
     * with the fleet key may join.
     *
     * @param toleratedLosses number of controllers that may fail or lose their disks at the same
     * time
     */
    class Automatic(override val toleratedLosses: Int) : ControllerMembership() {
        override val reconciler = MembershipReconciler(2 * toleratedLosses + 1, SILENCE_LIMIT)

        override fun mayJoin(process: ProcessName): Boolean = true
    }

    private companion object {
        /** Longer than a restart or a typical partition; a removed member that returns rejoins. */
        val SILENCE_LIMIT = 10.seconds
    }
}
