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
 * All queued and running attempts of the target, and the admission controller that decides on
 * them.
 *
 * The table's monitor guards the controller and the maps. Decisions of the controller are executed
 * by [actions] after the monitor is released. The monitor of a [SidecarAttempt] is acquired only
 * while the table's monitor is not held.
 */
internal class AttemptTable(
    private val controller: AdmissionController,
    private val actions: Actions,
    private val bodyBudget: BodyBudget = BodyBudget.ofHeap(),
) {
    /** Executes admission decisions; must not block. */
    interface Actions {
        fun run(attempt: SidecarAttempt)

        fun refuse(attempt: SidecarAttempt, reason: NotRunReason, retryAfter: Duration)

        /** Called after a dispatch was dropped because its attempt number was already used. */
        fun droppedDuplicate(attempt: Attempt)
    }

    private val waiting = HashMap<Attempt, SidecarAttempt>()
    private val running = HashMap<Attempt, SidecarAttempt>()

    /** Number of queued and running attempts. */
    val size: Int @Synchronized get() = waiting.size + running.size

    /** Attempts that were admitted and have not finished. */
    val runningAttempts: List<SidecarAttempt> @Synchronized get() = running.values.toList()

    /** Current load of the target. */
    @Synchronized
    fun report(): LoadReport = controller.report()

    /**
     * Decides on [dispatch]. A stale attempt number gets no answer: the earlier dispatch with that
     * number was or will be answered, and "not run" could be wrong. An attempt whose body exceeds
     * the memory budget is offered and withdrawn, so that its number stays refused.
     */
    fun offer(dispatch: Dispatch, connection: PeerConnection) {
        val attempt = SidecarAttempt(dispatch, connection)
        val hasReservedBody = bodyBudget.tryReserve(dispatch.body.bytes.size)
        val offered = synchronized(this) {
            controller.offer(dispatch).also { decision ->
                when {
                    hasReservedBody -> register(attempt, decision)
                    decision is AdmissionDecision.Queued -> controller.cancelWaiting(
                        attempt.attempt,
                    )
                }
            }
        }
        if (!hasReservedBody && offered is AdmissionDecision.Admitted) {
            update { finish(attempt.attempt, AttemptResult.CANCELLED) }
        }
        val decision = when {
            hasReservedBody || offered is AdmissionDecision.Refused -> offered
            else -> AdmissionDecision.Refused(NotRunReason.OVERLOADED, MEMORY_RETRY_AFTER)
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

    /** Refuses [dispatch] for a placement [reason]; its attempt number stays refused. */
    fun decline(dispatch: Dispatch, reason: NotRunReason, connection: PeerConnection) {
        val isNew = synchronized(this) { controller.decline(dispatch.attempt) }
        if (isNew) {
            actions.refuse(SidecarAttempt(dispatch, connection), reason, Duration.ZERO)
        } else {
            actions.droppedDuplicate(dispatch.attempt)
        }
    }

    private fun register(attempt: SidecarAttempt, decision: AdmissionDecision) = when (decision) {
        AdmissionDecision.Admitted -> running[attempt.attempt] = attempt
        AdmissionDecision.Queued -> waiting[attempt.attempt] = attempt
        is AdmissionDecision.Refused -> releaseBody(attempt)
    }

    private fun releaseBody(attempt: SidecarAttempt) =
        bodyBudget.release(attempt.dispatch.body.bytes.size)

    /** Applies [change] to the controller and executes the resulting decisions. */
    fun update(change: AdmissionController.() -> List<AdmissionEvent>) {
        val decisions = synchronized(this) {
            controller.change().mapNotNull { event ->
                waiting.remove(event.attempt)?.also { attempt ->
                    when (event) {
                        is AdmissionEvent.Admit -> running[event.attempt] = attempt
                        is AdmissionEvent.Refuse -> releaseBody(attempt)
                    }
                }?.let { event to it }
            }
        }
        for ((event, attempt) in decisions) {
            when (event) {
                is AdmissionEvent.Admit -> actions.run(attempt)
                is AdmissionEvent.Refuse ->
                    actions.refuse(attempt, event.reason, event.retryAfter)
            }
        }
    }

    /** Final check right before the first byte is sent to the target. */
    @Synchronized
    fun confirm(attempt: SidecarAttempt): NotRunReason? = controller.confirm(attempt.attempt)

    /** Removes the admitted [attempt], which ended with [result]. */
    fun finish(attempt: SidecarAttempt, result: AttemptResult) {
        synchronized(this) { running.remove(attempt.attempt)?.let(::releaseBody) }
        update { finish(attempt.attempt, result) }
    }

    /** Cancels [attempt] for its caller: refuses it if it is queued, stops it if it is running. */
    fun cancel(attempt: Attempt, connection: PeerConnection) {
        var runningAttempt: SidecarAttempt? = null
        val waitingAttempt = synchronized(this) {
            runningAttempt = running[attempt]?.takeIf { it.connection === connection }
            waiting[attempt]
                ?.takeIf { it.connection === connection && controller.cancelWaiting(attempt) }
                ?.also { waiting.remove(attempt) }
                ?.also(::releaseBody)
        }
        waitingAttempt?.let { actions.refuse(it, NotRunReason.CANCELLED, Duration.ZERO) }
        runningAttempt?.stop(BrokenReason.CANCELLED)
    }

    /** Cancels all attempts of [connection], which was closed. */
    fun cancelAll(connection: PeerConnection) {
        val attempts = synchronized(this) {
            (waiting.values + running.values).filter { it.connection === connection }
        }
        attempts.forEach { cancel(it.attempt, connection) }
    }

    private companion object {
        val MEMORY_RETRY_AFTER = 1.seconds
    }
}
