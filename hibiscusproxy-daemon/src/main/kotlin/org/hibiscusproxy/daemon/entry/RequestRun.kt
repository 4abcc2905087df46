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

/** What all requests of an entry share. */
internal class RunContext(
    val view: FleetView,
    val placement: PlacementPolicy,
    val loads: LoadTable,
    val budget: RetryBudget,
    val retries: RetryPolicy,
    val claims: Claims,
    val probes: ProbeBudget,
    val events: EventRecorder,
    val meters: EntryMeters,
)

/** How a request ended. */
internal sealed class RequestEnd {
    /** The caller has the complete answer, or gets it from [held]. */
    data class Answered(val status: Int, val held: StoredAnswer?) : RequestEnd()

    /** The caller has no byte and gets [failure]. */
    data class Failed(val failure: CallerFailure) : RequestEnd()

    /** The caller has part of an answer that will not become complete. */
    data class BrokenOff(val failure: CallerFailure) : RequestEnd()

    /** The caller has gone or was cut off. */
    data object CallerGone : RequestEnd()
}

/**
 * Runs one caller's request: selects a target, claims non-repeatable calls, dispatches an attempt,
 * and retries what did not run or may be repeated while no byte was relayed. Used by one
 * coroutine; [callerLeft] may come from any thread.
 */
internal class RequestRun(
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val context: RunContext,
) {
    private val walk = RouteWalk(request, context)
    private var attempts = 0
    private var failedAttempts = 0
    private var lastFailure: CallerFailure? = null
    private var targetsLost = 0

    /** Once an attempt may have run, a later refusal cannot promise that the request did not. */
    private var mayHaveRun = false

    @Volatile
    private var relay: AnswerRelay? = null

    /** Whether nobody waits for the answer any more. */
    @Volatile
    var hasCallerLeft: Boolean = false
        private set

    /** The caller has gone. A claimed call runs on, so that a resend gets its answer. */
    fun callerLeft() {
        hasCallerLeft = true
        if (request.repeatable) relay?.stop(AttemptOutcome.CallerGone)
    }

    /**
     * Runs the request to its end. A failure after a lost target is told only when the sidecars
     * can have learned which requests were in flight, because callers send it again at once and
     * it may be the one that crashes targets.
     */
    suspend fun run(): RequestEnd {
        val end = runToEnd()
        val isFailure = end is RequestEnd.Failed || end is RequestEnd.BrokenOff
        if (isFailure && targetsLost > 0) delay(minOf(request.remaining, CRASH_LIST_TIME))
        return end
    }

    private suspend fun runToEnd(): RequestEnd {
        context.budget.requestStarted()
        while (true) {
            if (hasCallerLeft) return RequestEnd.CallerGone
            val choice = walk.next() ?: return failed(lastFailure ?: CallerFailure.noTarget())
            val attempt = Attempt(request.identifier, ++attempts)
            request.claim?.let { key -> claim(key, attempt)?.let { return it } }
            val outcome = dispatch(attempt, choice)
            val failure = when (outcome) {
                is AttemptOutcome.Complete -> return complete(attempt, choice, outcome)

                AttemptOutcome.CallerGone -> return RequestEnd.CallerGone

                AttemptOutcome.TooLong ->
                    return failed(CallerFailure.answerTooLong(Holding.EVERYTHING.bytes))

                is AttemptOutcome.NotRun -> {
                    lastFailure = CallerFailure.notRun(outcome.reason, outcome.retryAfter)
                    releaseClaim(attempt)?.let { return it }
                    if (walk.notRun(choice, outcome)) continue
                    AttemptFailure.NotRun(outcome.reason, outcome.retryAfter)
                }

                is AttemptOutcome.Broken -> {
                    if (outcome.reason == BrokenReason.SLOW_READER) return RequestEnd.CallerGone
                    mayHaveRun = true
                    walk.failed(choice)
                    lastFailure = outcome.toFailure()
                    if (outcome.reason == BrokenReason.TARGET_LOST &&
                        ++targetsLost == CRASH_LIMIT
                    ) {
                        return giveUp(GiveUpReason.ALREADY_RELAYED.takeIf { response.hasBegun })
                    }
                    AttemptFailure.MayHaveRun
                }
            }
            pauseOrEnd(failure, choice)?.let { return it }
        }
    }

    /** Returns null when the attempt may be dispatched. */
    private suspend fun claim(key: ClaimKey, attempt: Attempt): RequestEnd? =
        when (val outcome = context.claims.claim(request, key, attempt)) {
            is ClaimOutcome.Granted ->
                if (outcome.attempt == attempt) null else failed(CallerFailure.inProgress())

            is ClaimOutcome.Completed -> RequestEnd.Answered(outcome.answer.status, outcome.answer)

            is ClaimOutcome.InProgress -> failed(CallerFailure.inProgress())

            ClaimOutcome.OutcomeUnknown -> failed(CallerFailure.outcomeUnknown())

            ClaimOutcome.ContentMismatch -> failed(CallerFailure.contentMismatch())

            is ClaimOutcome.AnswerNotStored ->
                failed(CallerFailure.answerNotStored(outcome.status, outcome.bytes))

            is ClaimOutcome.AttemptRefused -> failed(CallerFailure.attemptRefused())

            is ClaimOutcome.Refused, null -> failed(CallerFailure.noController())
        }

    private suspend fun releaseClaim(attempt: Attempt): RequestEnd? {
        val key = request.claim ?: return null
        val limit = minOf(request.remaining, RELEASE_LIMIT)
        if (context.claims.release(key, attempt, limit)) return null
        return failed(lastFailure ?: CallerFailure.noController())
    }

    private suspend fun dispatch(attempt: Attempt, choice: RouteWalk.Choice): AttemptOutcome {
        val relay = AnswerRelay(attempt, response, holding())
        this.relay = relay
        if (hasCallerLeft && request.repeatable) return AttemptOutcome.CallerGone
        val target = choice.target
        val link = context.view.linkTo(target)
        context.events.record(FleetEvent.AttemptDispatched(attempt, target.name))
        context.meters.attempts.increment()
        context.loads.recordDispatch(target.name)
        try {
            val sent = link.dispatch(relay) { message(attempt, it, choice) }
            return when (sent) {
                SidecarLink.Sent.YES -> await(relay, link)

                SidecarLink.Sent.UNREACHABLE, SidecarLink.Sent.TOO_LARGE ->
                    AttemptOutcome.NotRun(NotRunReason.TARGET_UNREACHABLE, Duration.ZERO)
            }
        } finally {
            link.forget(relay)
            context.loads.recordEnd(target.name)
        }
    }

    /** The sidecar keeps the deadline too; its typed answer is preferred by a short grace. */
    private suspend fun await(relay: AnswerRelay, link: SidecarLink): AttemptOutcome {
        val outcome = withTimeoutOrNull(request.remaining + DEADLINE_GRACE) {
            relay.outcome.await()
        } ?: AttemptOutcome.Broken(BrokenReason.DEADLINE).also(relay::stop)
        val isOver = outcome is AttemptOutcome.Complete ||
            outcome is AttemptOutcome.NotRun ||
            (outcome is AttemptOutcome.Broken && outcome.reason == BrokenReason.TARGET_LOST)
        if (!isOver) link.cancel(relay)
        return outcome
    }

    private fun message(attempt: Attempt, incarnation: Incarnation, choice: RouteWalk.Choice) =
        Dispatch(
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

    private fun holding(): Holding = when {
        !request.repeatable -> Holding.EVERYTHING
        request.holdsAnswer -> Holding.SHORT_ANSWERS
        else -> Holding.NOTHING
    }

    private suspend fun complete(
        attempt: Attempt,
        choice: RouteWalk.Choice,
        outcome: AttemptOutcome.Complete,
    ): RequestEnd {
        walk.served(attempt, choice)
        val key = request.claim
        if (key != null && outcome.held != null) {
            context.claims.complete(key, attempt, outcome.held)
        }
        return RequestEnd.Answered(outcome.status, outcome.held)
    }

    /** Waits as the policy says and returns null, or returns the end. */
    private suspend fun pauseOrEnd(failure: AttemptFailure, choice: RouteWalk.Choice): RequestEnd? {
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

    private fun giveUp(reason: GiveUpReason?): RequestEnd = when (reason) {
        GiveUpReason.ALREADY_RELAYED -> RequestEnd.BrokenOff(lastFailure ?: CallerFailure.broken())
        GiveUpReason.CANCELLED -> RequestEnd.CallerGone
        else -> failed(lastFailure ?: CallerFailure.broken())
    }

    private fun AttemptOutcome.Broken.toFailure(): CallerFailure = when (reason) {
        BrokenReason.DEADLINE -> CallerFailure.deadline()
        else -> CallerFailure.broken()
    }

    private fun failed(failure: CallerFailure): RequestEnd =
        RequestEnd.Failed(if (mayHaveRun) failure.copy(mayHaveRun = true) else failure)

    private companion object {
        val DEADLINE_GRACE = 250.milliseconds
        val RELEASE_LIMIT = 5.seconds

        /** Sidecars gather losses for 100 ms; the log and the push to all sidecars follow. */
        val CRASH_LIST_TIME = 500.milliseconds

        /** A request that lost this many targets may have crashed them; it gets no third one. */
        const val CRASH_LIMIT = 2
    }
}
