package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.LoadTable
import org.hibiscusproxy.placement.PlacementPolicy
import org.hibiscusproxy.placement.ProbeBudget
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.StoredAnswer
import org.hibiscusproxy.retry.AttemptFailure
import org.hibiscusproxy.retry.GiveUpReason
import org.hibiscusproxy.retry.RetryBudget
import org.hibiscusproxy.retry.RetryContext
import org.hibiscusproxy.retry.RetryDecision
import org.hibiscusproxy.retry.RetryPolicy
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent

/** Dependencies shared by all requests of an entry. */
internal class ExecutionContext(
    val view: FleetView,
    val placement: PlacementPolicy,
    val loads: LoadTable,
    val budget: RetryBudget,
    val retries: RetryPolicy,
    val claims: ClaimClient,
    val probes: ProbeBudget,
    val events: EventRecorder,
    val meters: EntryMeters,
)

/** Outcome of a request. */
internal sealed class RequestOutcome {
    /** The answer is complete; [buffered] holds it if it has not been relayed yet. */
    data class Answered(val status: Int, val buffered: StoredAnswer?) : RequestOutcome()

    /** Nothing was relayed; the caller gets [failure]. */
    data class Failed(val failure: CallerFailure) : RequestOutcome()

    /** Part of an answer was relayed that cannot be completed. */
    data class Interrupted(val failure: CallerFailure) : RequestOutcome()

    /** The caller disconnected, or its connection was closed. */
    data object CallerDisconnected : RequestOutcome()
}

/**
 * Executes one caller's request: selects a target, claims non-repeatable calls, dispatches an
 * attempt, and retries it if it did not run, or if it is repeatable and nothing was relayed. Used
 * by one coroutine; [onCallerDisconnected] may be called from any thread.
 */
internal class RequestExecution(
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val context: ExecutionContext,
) {
    private val selector = TargetSelector(request, context)
    private var attempts = 0
    private var failedAttempts = 0
    private var lastFailure: CallerFailure? = null
    private var lostTargets = 0

    /** Whether an attempt may have run; a later refusal must then not be reported as "not run". */
    private var mayHaveRun = false

    @Volatile
    private var relay: AnswerRelay? = null

    /** Whether the caller no longer waits for the answer. */
    @Volatile
    var isCallerDisconnected: Boolean = false
        private set

    /** Stops a repeatable request. A claimed call continues, so that a resend gets its answer. */
    fun onCallerDisconnected() {
        isCallerDisconnected = true
        if (request.repeatable) relay?.stop(AttemptOutcome.CallerDisconnected)
    }

    /**
     * Runs the request until it has an outcome. A failure after a lost target is delayed until the
     * sidecars can know which requests were in flight, because callers resend at once and the
     * request may be the one that crashes targets.
     */
    suspend fun run(): RequestOutcome {
        val outcome = runAttempts()
        val isFailure = outcome is RequestOutcome.Failed || outcome is RequestOutcome.Interrupted
        if (isFailure && lostTargets > 0) delay(minOf(request.remaining, CRASH_REPORT_DELAY))
        return outcome
    }

    private suspend fun runAttempts(): RequestOutcome {
        context.budget.requestStarted()
        while (true) {
            if (isCallerDisconnected) return RequestOutcome.CallerDisconnected
            val choice = selector.next() ?: return failed(lastFailure ?: CallerFailure.noTarget())
            val attempt = Attempt(request.identifier, ++attempts)
            request.claim?.let { key -> claim(key, attempt)?.let { return it } }
            val outcome = dispatch(attempt, choice)
            val failure = when (outcome) {
                is AttemptOutcome.Complete -> return complete(attempt, choice, outcome)

                AttemptOutcome.CallerDisconnected -> return RequestOutcome.CallerDisconnected

                AttemptOutcome.AnswerTooLong ->
                    return failed(
                        CallerFailure.answerTooLong(AnswerBuffering.FULL_ANSWERS.maximumBytes),
                    )

                is AttemptOutcome.NotRun -> {
                    lastFailure = CallerFailure.notRun(outcome.reason, outcome.retryAfter)
                    releaseClaim(attempt)?.let { return it }
                    if (selector.notRun(choice, outcome)) continue
                    AttemptFailure.NotRun(outcome.reason, outcome.retryAfter)
                }

                is AttemptOutcome.Broken -> {
                    if (outcome.reason == BrokenReason.SLOW_READER) {
                        return RequestOutcome.CallerDisconnected
                    }
                    mayHaveRun = true
                    selector.failed(choice)
                    lastFailure = outcome.toFailure()
                    if (outcome.reason == BrokenReason.TARGET_LOST &&
                        ++lostTargets == MAXIMUM_LOST_TARGETS
                    ) {
                        return giveUp(GiveUpReason.ALREADY_RELAYED.takeIf { response.hasBegun })
                    }
                    AttemptFailure.MayHaveRun
                }
            }
            retryOrFinish(failure, choice)?.let { return it }
        }
    }

    /** Claims the call for [attempt]. Returns null if the attempt may be dispatched. */
    private suspend fun claim(key: ClaimKey, attempt: Attempt): RequestOutcome? =
        when (val outcome = context.claims.claim(request, key, attempt)) {
            is ClaimOutcome.Granted ->
                if (outcome.attempt == attempt) null else failed(CallerFailure.inProgress())

            is ClaimOutcome.Completed -> RequestOutcome.Answered(
                outcome.answer.status,
                outcome.answer,
            )

            is ClaimOutcome.InProgress -> failed(CallerFailure.inProgress())

            ClaimOutcome.OutcomeUnknown -> failed(CallerFailure.outcomeUnknown())

            ClaimOutcome.ContentMismatch -> failed(CallerFailure.contentMismatch())

            is ClaimOutcome.AnswerNotStored ->
                failed(CallerFailure.answerNotStored(outcome.status, outcome.bytes))

            is ClaimOutcome.AttemptRefused -> failed(CallerFailure.attemptRefused())

            is ClaimOutcome.Refused, null -> failed(CallerFailure.noController())
        }

    private suspend fun releaseClaim(attempt: Attempt): RequestOutcome? {
        val key = request.claim ?: return null
        val limit = minOf(request.remaining, RELEASE_TIMEOUT)
        if (context.claims.release(key, attempt, limit)) return null
        return failed(lastFailure ?: CallerFailure.noController())
    }

    private suspend fun dispatch(attempt: Attempt, choice: TargetSelector.Choice): AttemptOutcome {
        val relay = AnswerRelay(attempt, response, answerBuffering())
        this.relay = relay
        if (isCallerDisconnected && request.repeatable) return AttemptOutcome.CallerDisconnected
        val target = choice.target
        val link = context.view.linkTo(target)
        context.events.record(FleetEvent.AttemptDispatched(attempt, target.name))
        context.meters.attempts.increment()
        context.loads.recordDispatch(target.name)
        try {
            val result = link.dispatch(relay) { dispatchMessage(attempt, it, choice) }
            return when (result) {
                SidecarLink.SendResult.QUEUED -> await(relay, link)

                SidecarLink.SendResult.UNREACHABLE, SidecarLink.SendResult.TOO_LARGE ->
                    AttemptOutcome.NotRun(NotRunReason.TARGET_UNREACHABLE, Duration.ZERO)
            }
        } finally {
            link.unregister(relay)
            context.loads.recordEnd(target.name)
        }
    }

    /** The sidecar also enforces the deadline; the grace period lets its typed answer arrive. */
    private suspend fun await(relay: AnswerRelay, link: SidecarLink): AttemptOutcome {
        val outcome = withTimeoutOrNull(request.remaining + DEADLINE_GRACE) {
            relay.outcome.await()
        } ?: AttemptOutcome.Broken(BrokenReason.DEADLINE).also(relay::stop)
        val hasEnded = outcome is AttemptOutcome.Complete ||
            outcome is AttemptOutcome.NotRun ||
            (outcome is AttemptOutcome.Broken && outcome.reason == BrokenReason.TARGET_LOST)
        if (!hasEnded) link.cancel(relay)
        return outcome
    }

    private fun dispatchMessage(
        attempt: Attempt,
        incarnation: Incarnation,
        choice: TargetSelector.Choice,
    ) = Dispatch(
        attempt = attempt,
        incarnation = incarnation,
        team = request.routed.team,
        service = request.routed.service,
        priority = choice.priority,
        remainingMilliseconds = request.remaining.inWholeMilliseconds,
        repeatable = request.repeatable,
        fingerprint = request.fingerprint,
        method = request.method,
        path = request.path,
        headers = request.headers +
            Header("X-Request-Id", "${attempt.request}.${attempt.number}") +
            Header("X-Priority", choice.priority.name.lowercase()),
        body = request.body,
        prefixKey = if (request.isChat) request.key.value else 0,
        mayWait = choice.step.mayWait,
        onlyIfCached = choice.step.onlyIfCached,
        followsPointer = request.isChat && choice.step.followsPointer,
    )

    private fun answerBuffering(): AnswerBuffering = when {
        !request.repeatable -> AnswerBuffering.FULL_ANSWERS
        request.mayBufferAnswer -> AnswerBuffering.SHORT_ANSWERS
        else -> AnswerBuffering.NONE
    }

    private suspend fun complete(
        attempt: Attempt,
        choice: TargetSelector.Choice,
        outcome: AttemptOutcome.Complete,
    ): RequestOutcome {
        selector.served(attempt, choice)
        val key = request.claim
        if (key != null && outcome.buffered != null) {
            context.claims.complete(key, attempt, outcome.buffered)
        }
        return RequestOutcome.Answered(outcome.status, outcome.buffered)
    }

    /** Returns null after any pause of the retry policy, or the outcome if it gives up. */
    private suspend fun retryOrFinish(
        failure: AttemptFailure,
        choice: TargetSelector.Choice,
    ): RequestOutcome? {
        val state = RetryContext(
            attempts = ++failedAttempts,
            remaining = request.remaining,
            repeatable = request.repeatable,
            bytesRelayed = if (response.hasBegun) maxOf(1, response.relayedBytes) else 0,
            untriedTargets = choice.untried,
        )
        return when (val decision = context.retries.decide(failure, state)) {
            RetryDecision.RetryOtherTarget -> {
                context.meters.retries.increment()
                null
            }

            is RetryDecision.RetryAfter -> {
                context.meters.retries.increment()
                delay(decision.delay)
                null
            }

            is RetryDecision.GiveUp -> giveUp(decision.reason)
        }
    }

    private fun giveUp(reason: GiveUpReason?): RequestOutcome = when (reason) {
        GiveUpReason.ALREADY_RELAYED -> RequestOutcome.Interrupted(
            lastFailure ?: CallerFailure.broken(),
        )
        GiveUpReason.CANCELLED -> RequestOutcome.CallerDisconnected
        else -> failed(lastFailure ?: CallerFailure.broken())
    }

    private fun AttemptOutcome.Broken.toFailure(): CallerFailure = when (reason) {
        BrokenReason.DEADLINE -> CallerFailure.deadline()
        else -> CallerFailure.broken()
    }

    private fun failed(failure: CallerFailure): RequestOutcome =
        RequestOutcome.Failed(if (mayHaveRun) failure.copy(mayHaveRun = true) else failure)

    private companion object {
        val DEADLINE_GRACE = 250.milliseconds
        val RELEASE_TIMEOUT = 5.seconds

        /** Sidecars collect losses for 100 ms; the log and the push to all sidecars follow. */
        val CRASH_REPORT_DELAY = 500.milliseconds

        /** A request that lost this many targets may have crashed them and is not retried. */
        const val MAXIMUM_LOST_TARGETS = 2
    }
}
