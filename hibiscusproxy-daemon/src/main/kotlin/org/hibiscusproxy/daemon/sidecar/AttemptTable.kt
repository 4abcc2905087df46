package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.admission.AdmissionController
import org.hibiscusproxy.admission.AdmissionDecision
import org.hibiscusproxy.admission.AdmissionEvent
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.daemon.BodyBudget
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRunReason

/**
 * All attempts that wait or run beside the target, with the admission controller that decides
 * about them.
 *
 * Lock: the table's monitor guards the controller and the maps. What the controller decides is
 * carried out by [actions] after the monitor is released. A [SidecarAttempt]'s monitor may be
 * taken while no table lock is held.
 */
internal class AttemptTable(
    private val controller: AdmissionController,
    private val actions: Actions,
    private val bodies: BodyBudget = BodyBudget.ofHeap(),
) {
    /** Carries decisions out; must not block. */
    interface Actions {
        fun run(attempt: SidecarAttempt)

        fun refuse(attempt: SidecarAttempt, reason: NotRunReason, retryAfter: Duration)

        /** A dispatch for an attempt number that was used before was dropped. */
        fun droppedDuplicate(attempt: Attempt)
    }

    private val waiting = HashMap<Attempt, SidecarAttempt>()
    private val running = HashMap<Attempt, SidecarAttempt>()

    /** Attempts that wait or run. */
    val size: Int @Synchronized get() = waiting.size + running.size

    /** Attempts sent or being sent to the target. */
    val runningAttempts: List<SidecarAttempt> @Synchronized get() = running.values.toList()

    /** Present load for reports. */
    @Synchronized
    fun report(): LoadReport = controller.report()

    /**
     * Decides about [dispatch]. A stale attempt number gets no answer: the earlier dispatch with
     * that number was or will be answered, and "not run" could be wrong. An attempt whose body does
     * not fit into memory is offered and withdrawn, so that its number stays refused.
     */
    fun offer(dispatch: Dispatch, connection: PeerConnection) {
        val attempt = SidecarAttempt(dispatch, connection)
        val hasMemory = bodies.tryReserve(dispatch.body.bytes.size)
        val offered = synchronized(this) {
            controller.offer(dispatch).also { decision ->
                when {
                    hasMemory -> place(attempt, decision)
                    decision is AdmissionDecision.Queued -> controller.cancelWaiting(
                        attempt.attempt,
                    )
                }
            }
        }
        if (!hasMemory && offered is AdmissionDecision.Admitted) {
            update { finish(attempt.attempt, AttemptResult.CANCELLED) }
        }
        val decision = when {
            hasMemory || offered is AdmissionDecision.Refused -> offered
            else -> AdmissionDecision.Refused(NotRunReason.OVERLOADED, MEMORY_WAIT)
        }
        when {
            decision is AdmissionDecision.Admitted -> actions.run(attempt)

            decision is AdmissionDecision.Refused &&
                decision.reason == NotRunReason.STALE_ATTEMPT ->
                actions.droppedDuplicate(attempt.attempt)

            decision is AdmissionDecision.Refused ->
                actions.refuse(attempt, decision.reason, decision.retryAfter)
        }
    }

    /** Refuses [dispatch] for [reason], which is about placement; its number stays refused. */
    fun decline(dispatch: Dispatch, reason: NotRunReason, connection: PeerConnection) {
        val isNew = synchronized(this) { controller.decline(dispatch.attempt) }
        if (isNew) {
            actions.refuse(SidecarAttempt(dispatch, connection), reason, Duration.ZERO)
        } else {
            actions.droppedDuplicate(dispatch.attempt)
        }
    }

    private fun place(attempt: SidecarAttempt, decision: AdmissionDecision) = when (decision) {
        AdmissionDecision.Admitted -> running[attempt.attempt] = attempt
        AdmissionDecision.Queued -> waiting[attempt.attempt] = attempt
        is AdmissionDecision.Refused -> release(attempt)
    }

    private fun release(attempt: SidecarAttempt) = bodies.release(attempt.dispatch.body.bytes.size)

    /** Runs [change] on the controller and carries out what follows from it. */
    fun update(change: AdmissionController.() -> List<AdmissionEvent>) {
        val decided = synchronized(this) {
            controller.change().mapNotNull { event ->
                waiting.remove(event.attempt)?.also { attempt ->
                    when (event) {
                        is AdmissionEvent.Admit -> running[event.attempt] = attempt
                        is AdmissionEvent.Refuse -> release(attempt)
                    }
                }?.let { event to it }
            }
        }
        for ((event, attempt) in decided) {
            when (event) {
                is AdmissionEvent.Admit -> actions.run(attempt)
                is AdmissionEvent.Refuse ->
                    actions.refuse(attempt, event.reason, event.retryAfter)
            }
        }
    }

    /** Last check right before the first byte goes to the target. */
    @Synchronized
    fun confirm(attempt: SidecarAttempt): NotRunReason? = controller.confirm(attempt.attempt)

    /** An admitted attempt ended with [result]. */
    fun finish(attempt: SidecarAttempt, result: AttemptResult) {
        synchronized(this) { running.remove(attempt.attempt)?.let(::release) }
        update { finish(attempt.attempt, result) }
    }

    /** The caller left: the attempt is refused if it waits and stopped if it runs. */
    fun cancel(attempt: Attempt, connection: PeerConnection) {
        var runningAttempt: SidecarAttempt? = null
        val waitingAttempt = synchronized(this) {
            runningAttempt = running[attempt]?.takeIf { it.connection === connection }
            waiting[attempt]
                ?.takeIf { it.connection === connection && controller.cancelWaiting(attempt) }
                ?.also { waiting.remove(attempt) }
                ?.also(::release)
        }
        waitingAttempt?.let { actions.refuse(it, NotRunReason.CANCELLED, Duration.ZERO) }
        runningAttempt?.stop(BrokenReason.CANCELLED)
    }

    /** Cancels all attempts whose answers would go to [connection], which has ended. */
    fun cancelAll(connection: PeerConnection) {
        val attempts = synchronized(this) {
            (waiting.values + running.values).filter { it.connection === connection }
        }
        attempts.forEach { cancel(it.attempt, connection) }
    }

    private companion object {
        val MEMORY_WAIT = 1.seconds
    }
}
