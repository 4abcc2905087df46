package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.TeamAccess
import org.hibiscusproxy.forwarding.VersionChoice
import org.hibiscusproxy.forwarding.hasFreeSlots
import org.hibiscusproxy.model.ServiceName

/**
 * Forwards one request of a caller, from its complete reception to the final response. Another
 * target is tried only if no earlier one may have executed the request, or if its route allows
 * repeated execution. Its time runs from [arrivedAt], when its head arrived.
 *
 * Callbacks of timers, targets, controllers and the caller may come at any time, also after the
 * request has moved on. Each checks the [phase] that it is for; [end] sends the only final answer.
 */
internal class Exchange(
    val node: ForwardingNode,
    val caller: CallerConnection,
    val head: HttpRequest,
    val body: ByteBuf,
    private val arrivedAt: ComparableTimeMark,
) {
    private val receivedAt = node.time.markNow()

    /** Metadata from the request headers. */
    val metadata = node.wire.readRequest(head.headers())

    /** Fingerprints by which this request is recognized if it crashes targets. */
    val fingerprints = RequestFingerprints(this)
    private var phase: ExchangePhase = ExchangePhase.Received
    private var revision = node.revision

    /** Route of the request; null until [start] finds it. */
    var route: ForwardingRoute? = null
        private set
    var team: TeamAccess? = null
        private set
    private var service: ServiceName? = null
    private var timeout: Duration = Duration.INFINITE
    private var timeoutTask: ScheduledFuture<*>? = null
    private val attempts = ExchangeAttempts()
    private var secondAttempt: SecondAttempt? = null
    private var framing: AnswerFraming? = null
    private var status = 0

    /** Splits the stream of a resumable route into events; null for other responses. */
    var events: EventSplitter? = null
        private set
    private var stream: StreamBinding? = null

    /** Whether the response status and headers were sent to the caller. */
    val isHeadSent: Boolean get() = phase is ExchangePhase.Answering

    private val isEnded: Boolean get() = phase is ExchangePhase.Ended

    private val isRepeatable: Boolean get() = route?.isRepeatable == true

    /** Time since the head of the request arrived. */
    val elapsed: Duration get() = arrivedAt.elapsedNow()

    /** Time until the timeout of the caller or of the route. */
    val remaining: Duration get() = timeout - elapsed

    /**
     * Finds the route and sends the request to a target, or responds with an error. If the process
     * has no routing or targets, the request waits for part of its timeout. One that waits already
     * goes on waiting, with its place and its limit unchanged.
     */
    fun start() {
        val isStarted = phase !is ExchangePhase.Received && phase !is ExchangePhase.Waiting
        if (isStarted) return ignore("start")
        val index = node.routes
        if (index == null || !node.isServing) return awaitRouting()
        revision = node.revision
        val host = head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val matchedRoute = index.route(host, head.uri().substringBefore('?'))
            ?: return end(FinalAnswer.Failed(FinalReason.NO_ROUTE, HttpResponseStatus.NOT_FOUND))
        route = matchedRoute
        if (index.needsKeys && !matchedRoute.isPublic) {
            team = metadata.accessKey?.let(index::team) ?: return end(
                FinalAnswer.Failed(FinalReason.UNKNOWN_KEY, HttpResponseStatus.UNAUTHORIZED),
            )
        }
        val routeTimeout = matchedRoute.timeoutMilliseconds.milliseconds
        timeout = minOf(routeTimeout, metadata.callerTimeout ?: routeTimeout)
        if (node.shutdown?.permits(remaining) == false) {
            return giveUp(FinalReason.SHUTTING_DOWN, ErrorResponses.ANOTHER_PROCESS_RETRY_AFTER)
        }
        val chosen = matchedRoute.selectService(node.random)
        if (matchedRoute.isResumable) {
            events = EventSplitter()
            stream = StreamBinding(this, matchedRoute, chosen)
        }
        timeoutTask = node.loop.schedule(
            { guard(::onTimeout) },
            (remaining + TIMEOUT_GRACE).inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        stream?.takeIf { it.isTakeUp }?.let { return continueStream(it) }
        begin(chosen)
    }

    private fun awaitRouting() {
        if (phase is ExchangePhase.Waiting) return
        val wait = RoutingWait(this) {
            guard { giveUp(FinalReason.NO_ROUTING, RoutingWait.RETRY_AFTER) }
        }
        enter(ExchangePhase.Waiting(wait))
        wait.begin()
    }

    private fun enter(next: ExchangePhase) {
        phase = phase.moveTo(next)
    }

    private fun begin(chosen: ServiceName) {
        enter(ExchangePhase.Sending)
        service = chosen
        node.retryLimiter.recordRequest(chosen)
        if (isRepeatable) {
            node.hedging.recordRequest(chosen)
            secondAttempt = route?.let { SecondAttempt(this, it) }
        }
        sendToTarget()
        if (attempts.count == 1 && !isEnded) secondAttempt?.schedule()
    }

    private fun continueStream(binding: StreamBinding) {
        enter(ExchangePhase.LookingUp(binding))
        binding.findOrigin { origin -> guard { onOriginFound(origin) } }
    }

    private fun onOriginFound(origin: StreamOrigin) {
        if (phase !is ExchangePhase.LookingUp) return ignore("origin")
        when (origin) {
            is StreamOrigin.Known -> continueAt(origin.version.service)

            is StreamOrigin.Unknown -> end(FinalAnswer.StreamRefused(FinalReason.ORIGIN_UNKNOWN))

            is StreamOrigin.NotAnswered ->
                giveUp(FinalReason.ORIGIN_NOT_TOLD, RoutingWait.RETRY_AFTER)
        }
    }

    private fun continueAt(origin: ServiceName) {
        if (route?.shares.orEmpty().none { it.service == origin }) {
            return end(FinalAnswer.StreamRefused(FinalReason.VERSION_GONE))
        }
        begin(origin)
    }

    private fun sendToTarget() {
        if (!remaining.isPositive()) {
            return giveUp(FinalReason.TIMEOUT, ErrorResponses.BUSY_RETRY_AFTER)
        }
        fingerprints.admit()?.let { return giveUp(FinalReason.CRASHES_TARGETS, it) }
        val request = placementRequest()
        when (val choice = node.selector.choose(request)) {
            is PlacementChoice.Chosen -> startAttempt(choice.target, choice.cachedAt)
            is PlacementChoice.Refused -> {
                node.log.placementRefused(request.rank, choice.reason)
                giveUp(FinalReason.of(choice.reason), choice.retryAfter)
            }
        }
    }

    private fun placementRequest(): PlacementRequest {
        val currentRoute = checkNotNull(route) { "request has no route" }
        return PlacementRequest(
            service = checkNotNull(service) { "request has no service" },
            prompt = metadata.prompt,
            objective = currentRoute.objectiveMilliseconds.milliseconds - elapsed,
            remaining = remaining,
            excluded = attempts.triedTargets,
            versions = stream?.versions ?: VersionChoice.Any,
            rank = team?.priority ?: currentRoute.priority,
            team = team?.name,
            isRetry = attempts.count > 0,
        )
    }

    /** Sends the request to another target too, if its answer is slow and the limits allow it. */
    fun startSecondAttempt() {
        val currentService = service ?: return
        val maySend = phase is ExchangePhase.Sending && attempts.size == 1 &&
            !attempts.hasAnswer &&
            attempts.possibleExecutions + attempts.size < (route?.maximumTargets ?: 1) &&
            remaining > MINIMUM_ATTEMPT_TIME &&
            refusalTime() == null && node.crashes.maySendAgain(fingerprints.request)
        if (!maySend) return
        val choice = node.selector.choose(placementRequest()) as? PlacementChoice.Chosen ?: return
        val isAllowed = node.selector.hasFreeSlots(choice.target.name) &&
            node.hedging.tryTake(currentService) && node.tryRetry(currentService)
        node.log.secondAttempt(isAllowed)
        if (isAllowed) startAttempt(choice.target, choice.cachedAt)
    }

    /** Remaining time for which this request is refused; null if it is not. */
    fun refusalTime(): Duration? =
        if (node.refusals.isEmpty) null else node.refusals.remaining(fingerprints.all)

    private fun startAttempt(target: DiscoveredTarget, cachedAt: DiscoveredTarget?) {
        val next =
            TargetAttempt(this, target, cachedAt, node.selector.begin(target.name, metadata.prompt))
        attempts.add(next)
        val idleConnection = node.pool.acquireIdle(
            target.name,
            head.method(),
            metadata.requestIdentifier,
        )
        if (idleConnection != null) {
            next.send(idleConnection)
        } else {
            node.pool.connect(target, next::onConnected)
        }
    }

    /** Pauses or resumes reading from the target as the caller's connection allows. */
    fun onCallerWritabilityChanged(isWritable: Boolean) {
        attempts.setReading(isWritable)
    }

    /** Cancels the current attempt after the caller closed its connection. */
    fun onCallerDisconnected() {
        if (isEnded) return
        // A caller counts its time from a moment earlier, and leaves just before the timeout here.
        if (remaining < timeout * LEAVING_FRACTION) attempts.recordTimeout(timeout)
        end(FinalAnswer.CallerLeft)
    }

    /**
     * Answers the caller at once because of [reason], with the status [failure] if the request may
     * have run; returns whether it was in progress.
     */
    fun endEarly(reason: FinalReason, failure: HttpResponseStatus): Boolean {
        if (isEnded) return false
        val retryAfter = ErrorResponses.ANOTHER_PROCESS_RETRY_AFTER
        end(FinalAnswer.Refused(reason, retryAfter, otherwise = failure))
        return true
    }

    private fun onTimeout() {
        if (isEnded) return
        attempts.recordTimeout(timeout)
        val isUnresponsive = !isHeadSent && receivedAt.elapsedNow() > UNRESPONSIVE_AFTER
        attempts.cancel(
            if (isUnresponsive) AttemptResult.TIMED_OUT else AttemptResult.INCONCLUSIVE,
        )
        end(FinalAnswer.Failed(FinalReason.TIMEOUT, HttpResponseStatus.GATEWAY_TIMEOUT))
    }

    /** Tries another target if that is allowed; otherwise sends the final response. */
    fun onAttemptFailed(
        ended: TargetAttempt,
        reason: FinalReason,
        cause: String,
        isNotExecuted: Boolean,
    ) {
        if (isEnded || !attempts.remove(ended, isNotExecuted)) return ignore("attempt-failed")
        if (!attempts.isEmpty) return logFailure(ended, cause, "other-attempt")
        val isAllowed = when {
            remaining < MINIMUM_ATTEMPT_TIME || attempts.count >= MAXIMUM_ATTEMPTS -> false
            // The output of another execution can only be joined at an event boundary.
            isHeadSent && events == null -> false
            isNotExecuted -> true
            reason == FinalReason.TARGET_LOST && !node.crashes.maySendAgain(fingerprints.request) ->
                false
            else -> isRepeatable && attempts.possibleExecutions < (route?.maximumTargets ?: 1)
        }
        val willRetry = isAllowed && (ended.wasNotSent || service?.let(node::tryRetry) == true)
        logFailure(ended, cause, if (willRetry) "another-target" else "final-answer")
        if (willRetry) {
            val isTargetFailed = reason == FinalReason.TARGET_FAILED
            if (isTargetFailed && node.selector.mayRepeatAt(ended.target.name)) {
                attempts.allowAgain(ended.target.name)
            }
            events?.discardPartialEvent()
            sendToTarget()
        } else {
            giveUp(reason, ErrorResponses.BUSY_RETRY_AFTER)
        }
    }

    /** Whether a server error of an attempt is not the answer yet, as another one may succeed. */
    fun canRetry(): Boolean = attempts.size > 1 ||
        isRepeatable &&
        attempts.possibleExecutions + 1 < (route?.maximumTargets ?: 1) &&
        remaining > MINIMUM_ATTEMPT_TIME

    /** Ends the attempts other than [selected], whose answer the caller gets. */
    fun selectAnswer(selected: TargetAttempt) {
        if (attempts.size == 1) return
        val isLatest = selected.target.name == attempts.lastTarget?.name
        attempts.select(selected)
        node.log.secondAttemptEnded(isAnswered = isLatest)
    }

    /** Forwards the status and headers of the response. */
    fun forwardHead(response: HttpResponse) {
        if (phase !is ExchangePhase.Sending) return ignore("head")
        status = response.status().code()
        if (status !in SUCCESS_STATUSES) events = null
        caller.writeHead(response)
        enter(ExchangePhase.Answering)
    }

    /** Forwards [bytes] of the response; takes ownership of the buffer. */
    fun forwardContent(bytes: ByteBuf) {
        if (isHeadSent && bytes.isReadable) return caller.writeContent(bytes)
        if (!isHeadSent) ignore("content")
        bytes.release()
    }

    /** Called when complete events of [target] were forwarded. */
    fun onEventsForwarded(target: DiscoveredTarget) {
        if (isHeadSent) stream?.onEventsForwarded(target)
    }

    /** Ends the request after the complete response of [answered] was forwarded. */
    fun onResponseComplete(answered: TargetAttempt) {
        if (!isHeadSent) return ignore("response-complete")
        framing = answered.framing
        attempts.remove(answered, isNotExecuted = false)
        end(FinalAnswer.Forwarded)
    }

    /** Ends the request because of [reason]; one that was not executed may come again. */
    private fun giveUp(reason: FinalReason, retryAfter: Duration) = end(
        when (reason) {
            FinalReason.VERSION_GONE -> FinalAnswer.StreamRefused(reason)
            else -> FinalAnswer.Refused(reason, retryAfter)
        },
    )

    /** Ends the request with [intended], or with what is true of the request instead. */
    private fun end(intended: FinalAnswer) {
        if (isEnded) return ignore("end")
        val mayHaveRun = attempts.mayHaveRun
        val answer = intended.applicableTo(phase, mayHaveRun)
        attempts.cancel(AttemptResult.INCONCLUSIVE)
        val response = answer.response(mayHaveRun)
        response?.let { status = it.status().code() }
        enter(ExchangePhase.Ended)
        timeoutTask?.cancel(false)
        secondAttempt?.cancel()
        body.release()
        logEnd(answer)
        when (answer) {
            is FinalAnswer.Forwarded -> caller.finish()

            is FinalAnswer.CallerLeft -> Unit

            is FinalAnswer.BrokenOff -> caller.abort()

            is FinalAnswer.Refused, is FinalAnswer.StreamRefused, is FinalAnswer.Failed ->
                response?.let(caller::writeResponse)
        }
    }

    private fun logEnd(answer: FinalAnswer) = node.log.requestCompleted(
        ExchangeSummary(
            metadata.requestIdentifier,
            route?.name,
            attempts.lastTarget,
            attempts.count,
            status,
            answer.outcome,
            answer.reason.text,
            framing,
            elapsed,
            revision,
        ),
    )

    private companion object {
        val SUCCESS_STATUSES = 200..299

        /** After a shorter time, a missing response does not indicate that the target failed. */
        val UNRESPONSIVE_AFTER = 1_000.milliseconds

        /** Part of the timeout that may be left when a caller leaves because of its own timeout. */
        const val LEAVING_FRACTION = 0.1

        /** Maximum number of targets per request, including unreachable and refusing ones. */
        const val MAXIMUM_ATTEMPTS = 4

        /** Targets rarely respond in less time. */
        val MINIMUM_ATTEMPT_TIME = 20.milliseconds

        /** Leaves time for the target's own timeout response to arrive. */
        val TIMEOUT_GRACE = 100.milliseconds
    }
}
