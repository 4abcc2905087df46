package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpResponse
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
import org.hibiscusproxy.model.TargetName

/**
 * Forwards one request of a caller, from its complete reception to the final response. Another
 * target is tried only if no earlier one may have executed the request, or if its route allows
 * repeated execution. Its time runs from [arrivedAt], when its head arrived.
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
    private val triedTargets = LinkedHashSet<TargetName>()
    private var revision = node.revision

    /** Route of the request; null until [start] finds it. */
    var route: ForwardingRoute? = null
        private set
    var team: TeamAccess? = null
        private set
    private var service: ServiceName? = null
    private var timeout: Duration = Duration.INFINITE
    private var timeoutTask: ScheduledFuture<*>? = null
    private val running = ExchangeAttempts()
    private var secondAttempt: SecondAttempt? = null
    private var lastTarget: DiscoveredTarget? = null
    private var lastFraming: AnswerFraming? = null
    private var attempts = 0
    private var status = 0
    private var isCompleted = false

    /** Number of attempts that executed the request or may have executed it. */
    private var possibleExecutions = 0

    /** Whether the response status and headers were sent to the caller. */
    var isHeadSent = false
        private set

    /** Splits the stream of a resumable route into events; null for other responses. */
    var events: EventSplitter? = null
        private set
    private val routingWait = RoutingWait(this)
    private var stream: StreamBinding? = null
    private var mayHaveRun = false

    private val isRepeatable: Boolean get() = route?.isRepeatable == true

    /** Time until the timeout of the caller or of the route. */
    val remaining: Duration get() = timeout - arrivedAt.elapsedNow()

    /**
     * Finds the route and sends the request to a target, or responds with an error. If the process
     * has not received routing or targets yet, the request waits for part of its timeout.
     */
    fun start() {
        val index = node.routes
        if (index == null || !node.isServing) {
            return routingWait.begin(arrivedAt.elapsedNow()) {
                guard { refuse(FinalReason.NO_ROUTING, RoutingWait.RETRY_AFTER) }
            }
        }
        routingWait.end()
        revision = node.revision
        val host = head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val matchedRoute = index.route(host, head.uri().substringBefore('?'))
            ?: return deny(HttpResponseStatus.NOT_FOUND, FinalReason.NO_ROUTE)
        route = matchedRoute
        if (index.needsKeys && !matchedRoute.isPublic) {
            team = metadata.accessKey?.let(index::team)
                ?: return deny(HttpResponseStatus.UNAUTHORIZED, FinalReason.UNKNOWN_KEY)
        }
        val routeTimeout = matchedRoute.timeoutMilliseconds.milliseconds
        timeout = minOf(routeTimeout, metadata.callerTimeout ?: routeTimeout)
        if (node.shutdown?.permits(remaining) == false) {
            return refuse(FinalReason.SHUTTING_DOWN, ErrorResponses.ANOTHER_PROCESS_RETRY_AFTER)
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

    private fun begin(chosen: ServiceName) {
        service = chosen
        node.retryLimiter.recordRequest(chosen)
        if (isRepeatable) {
            node.hedging.recordRequest(chosen)
            secondAttempt = route?.let { SecondAttempt(this, it) }
        }
        sendToTarget()
        if (attempts == 1) secondAttempt?.schedule()
    }

    private fun continueStream(binding: StreamBinding) = binding.findOrigin { origin ->
        guard {
            when (origin) {
                is StreamOrigin.Known -> continueAt(origin.version.service)

                is StreamOrigin.Unknown -> refuseStream(FinalReason.ORIGIN_UNKNOWN)

                is StreamOrigin.NotAnswered ->
                    refuse(FinalReason.ORIGIN_NOT_TOLD, RoutingWait.RETRY_AFTER)
            }
        }
    }

    private fun continueAt(origin: ServiceName) {
        if (route?.shares.orEmpty().none { it.service == origin }) {
            return refuseStream(FinalReason.VERSION_GONE)
        }
        begin(origin)
    }

    private fun sendToTarget() {
        if (!remaining.isPositive()) {
            return completeWithError(FinalReason.TIMEOUT, ErrorResponses.BUSY_RETRY_AFTER)
        }
        fingerprints.admit()?.let { return completeWithError(FinalReason.CRASHES_TARGETS, it) }
        val request = placementRequest()
        when (val choice = node.selector.choose(request)) {
            is PlacementChoice.Chosen -> startAttempt(choice.target, choice.cachedAt)
            is PlacementChoice.Refused -> {
                node.log.placementRefused(request.rank, choice.reason)
                completeWithError(FinalReason.of(choice.reason), choice.retryAfter)
            }
        }
    }

    private fun placementRequest(): PlacementRequest {
        val currentRoute = checkNotNull(route) { "request has no route" }
        return PlacementRequest(
            service = checkNotNull(service) { "request has no service" },
            prompt = metadata.prompt,
            objective = currentRoute.objectiveMilliseconds.milliseconds - arrivedAt.elapsedNow(),
            remaining = remaining,
            excluded = triedTargets,
            versions = stream?.versions ?: VersionChoice.Any,
            rank = team?.priority ?: currentRoute.priority,
            team = team?.name,
            isRetry = attempts > 0,
        )
    }

    /** Sends the request to another target too, if its answer is slow and the limits allow it. */
    fun startSecondAttempt() {
        val currentService = service ?: return
        val maySend = !isCompleted && !isHeadSent && running.size == 1 && !running.hasAnswer &&
            possibleExecutions + running.size < (route?.maximumTargets ?: 1) &&
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
        triedTargets += target.name
        lastTarget = target
        attempts += 1
        val next =
            TargetAttempt(this, target, cachedAt, node.selector.begin(target.name, metadata.prompt))
        running.add(next)
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
        running.setReading(isWritable)
    }

    /** Cancels the current attempt after the caller closed its connection. */
    fun onCallerDisconnected() {
        if (isCompleted) return
        // A caller counts its time from a moment earlier, and leaves just before the timeout here.
        if (remaining < timeout * LEAVING_FRACTION) running.recordTimeout(timeout)
        running.cancel(AttemptResult.INCONCLUSIVE)
        complete("caller-left", FinalReason.CALLER_LEFT)
    }

    /**
     * Answers the caller at once because of [reason], with the status [failure] if the request may
     * have run; returns whether it was in progress.
     */
    fun endEarly(reason: FinalReason, failure: HttpResponseStatus): Boolean {
        if (isCompleted) return false
        val wasNotSent = !mayHaveRun && running.areUnsent
        running.cancel(AttemptResult.INCONCLUSIVE)
        when {
            isHeadSent -> abort(reason)
            wasNotSent -> refuse(reason, ErrorResponses.ANOTHER_PROCESS_RETRY_AFTER)
            else -> fail(failure, reason, ErrorResponses.UNKNOWN)
        }
        return true
    }

    private fun onTimeout() {
        if (isCompleted) return
        running.recordTimeout(timeout)
        val isUnresponsive = !isHeadSent && receivedAt.elapsedNow() > UNRESPONSIVE_AFTER
        running.cancel(
            if (isUnresponsive) AttemptResult.TIMED_OUT else AttemptResult.INCONCLUSIVE,
        )
        if (isHeadSent) return abort(FinalReason.TIMEOUT)
        fail(HttpResponseStatus.GATEWAY_TIMEOUT, FinalReason.TIMEOUT, ErrorResponses.UNKNOWN)
    }

    /** Tries another target if that is allowed; otherwise sends the final response. */
    fun onAttemptFailed(
        ended: TargetAttempt,
        reason: FinalReason,
        cause: String,
        isNotExecuted: Boolean,
    ) {
        running.remove(ended)
        if (!isNotExecuted) {
            mayHaveRun = true
            possibleExecutions += 1
        }
        if (!running.isEmpty) return logFailure(ended, cause, "other-attempt")
        val isAllowed = when {
            remaining < MINIMUM_ATTEMPT_TIME || attempts >= MAXIMUM_ATTEMPTS -> false
            // The output of another execution can only be joined at an event boundary.
            isHeadSent && events == null -> false
            isNotExecuted -> true
            reason == FinalReason.TARGET_LOST && !node.crashes.maySendAgain(fingerprints.request) ->
                false
            else -> isRepeatable && possibleExecutions < (route?.maximumTargets ?: 1)
        }
        val willRetry = isAllowed && (ended.wasNotSent || service?.let(node::tryRetry) == true)
        logFailure(ended, cause, if (willRetry) "another-target" else "final-answer")
        if (willRetry) {
            val isTargetFailed = reason == FinalReason.TARGET_FAILED
            if (isTargetFailed && node.selector.mayRepeatAt(ended.target.name)) {
                triedTargets -= ended.target.name
            }
            events?.discardPartialEvent()
            sendToTarget()
        } else {
            completeWithError(reason, ErrorResponses.BUSY_RETRY_AFTER)
        }
    }

    private fun logFailure(ended: TargetAttempt, cause: String, next: String) =
        node.log.attemptFailed(
            AttemptSummary(
                metadata.requestIdentifier,
                ended.target,
                cause,
                next,
                ended.progress,
                ended.framing,
                metadata.prompt?.sharedParts.orEmpty(),
            ),
        )

    /** Whether a server error of an attempt is not the answer yet, as another one may succeed. */
    fun canRetry(): Boolean = running.size > 1 ||
        isRepeatable &&
        possibleExecutions + 1 < (route?.maximumTargets ?: 1) &&
        remaining > MINIMUM_ATTEMPT_TIME

    /** Ends the attempts other than [selected], whose answer the caller gets. */
    fun selectAnswer(selected: TargetAttempt) {
        if (running.size == 1) return
        val others = running.select(selected)
        possibleExecutions += others
        if (others > 0) mayHaveRun = true
        node.log.secondAttemptEnded(isAnswered = selected.target.name == lastTarget?.name)
        lastTarget = selected.target
    }

    /** Forwards the status and headers of the response. */
    fun forwardHead(response: HttpResponse) {
        status = response.status().code()
        if (status !in SUCCESS_STATUSES) events = null
        caller.writeHead(response)
        isHeadSent = true
    }

    /** Called when complete events of [target] were forwarded. */
    fun onEventsForwarded(target: DiscoveredTarget) {
        stream?.onEventsForwarded(target)
    }

    /** Ends the request after its complete response was forwarded. */
    fun onResponseComplete() {
        lastFraming = running.framing
        complete("answered", FinalReason.COMPLETE)
        caller.finish()
    }

    private fun completeWithError(reason: FinalReason, retryAfter: Duration) {
        when {
            isHeadSent -> abort(reason)
            mayHaveRun -> fail(HttpResponseStatus.BAD_GATEWAY, reason, ErrorResponses.UNKNOWN)
            reason == FinalReason.VERSION_GONE -> refuseStream(reason)
            else -> refuse(reason, retryAfter)
        }
    }

    /** Refuses a request that was not executed; the caller may retry after [retryAfter]. */
    private fun refuse(reason: FinalReason, retryAfter: Duration) {
        respond(ErrorResponses.refusal(reason, retryAfter), "refused", reason)
    }

    private fun refuseStream(reason: FinalReason) =
        respond(ErrorResponses.restart(reason), "refused", reason)

    private fun deny(status: HttpResponseStatus, reason: FinalReason) =
        fail(status, reason, ErrorResponses.NOT_RUN)

    private fun fail(failure: HttpResponseStatus, reason: FinalReason, outcome: String) =
        respond(ErrorResponses.failure(failure, reason, outcome), "failed", reason)

    private fun respond(response: DefaultFullHttpResponse, outcome: String, reason: FinalReason) {
        status = response.status().code()
        complete(outcome, reason)
        caller.writeResponse(response)
    }

    private fun abort(reason: FinalReason) {
        complete("broken-off", reason)
        caller.abort()
    }

    private fun complete(outcome: String, reason: FinalReason) {
        isCompleted = true
        routingWait.end()
        stream?.close()
        timeoutTask?.cancel(false)
        secondAttempt?.cancel()
        body.release()
        node.log.requestCompleted(
            ExchangeSummary(
                metadata.requestIdentifier,
                route?.name,
                lastTarget,
                attempts,
                status,
                outcome,
                reason.text,
                lastFraming,
                arrivedAt.elapsedNow(),
                revision,
            ),
        )
    }

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
