package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.nio.charset.StandardCharsets.UTF_8
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import org.hibiscusproxy.forwarding.AttemptResult
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ForwardingRoute
import org.hibiscusproxy.forwarding.PlacedAttempt
import org.hibiscusproxy.forwarding.PlacementChoice
import org.hibiscusproxy.forwarding.PlacementRequest
import org.hibiscusproxy.forwarding.RequestKind
import org.hibiscusproxy.forwarding.TeamAccess
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName

/**
 * One request of a caller from its last byte to its final answer. It is sent to one target after
 * another only while no earlier one may have run it, or while its route lets it run again.
 */
internal class Exchange(
    val node: ForwardingNode,
    val caller: CallerConnection,
    val head: HttpRequest,
    val body: ByteBuf,
) {
    private val startedAt = node.time.markNow()

    /** What the caller says of its request. */
    val call = node.wire.readRequest(head.headers())
    private val tried = LinkedHashSet<TargetName>()
    private var revision = node.revision

    /** Route and team of the request, once they are known. */
    var route: ForwardingRoute? = null
        private set
    var team: TeamAccess? = null
        private set
    private var service: ServiceName? = null
    private var limit: Duration = Duration.INFINITE
    private var deadline: ScheduledFuture<*>? = null
    private var current: TargetAttempt? = null
    private var lastTarget: TargetName? = null
    private var attempts = 0
    private var status = 0
    private var isDone = false

    /** Number of attempts that ran the request or may have run it. */
    private var runs = 0

    /** Whether the head of an answer was sent to the caller. */
    var isHeadSent = false
        private set

    /** Cuts a stream into events where another target may go on with it. */
    var events: EventSplitter? = null
        private set
    private var mayHaveRun = false

    private val isRepeatable: Boolean get() = route?.isRepeatable == true

    /** Time until the caller or the route times out. */
    val remaining: Duration get() = limit - startedAt.elapsedNow()

    /**
     * Finds the route and sends the request to a target, or answers at once. While the process
     * starts and has not received routing or targets, the request waits for part of its time.
     */
    fun start() {
        val index = node.routes
        if (index == null || !node.isServing) return waitForRouting()
        deadline?.cancel(false)
        revision = node.revision
        val host = head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val found = index.route(host, head.uri().substringBefore('?'))
            ?: return fail(HttpResponseStatus.NOT_FOUND, FinalReason.NO_ROUTE, OwnAnswer.NOT_RUN)
        route = found
        if (index.needsKeys && !found.isPublic) {
            team = call.accessKey?.let(index::team)
                ?: return fail(
                    HttpResponseStatus.UNAUTHORIZED,
                    FinalReason.UNKNOWN_KEY,
                    OwnAnswer.NOT_RUN,
                )
        }
        val timeout = found.timeoutMilliseconds.milliseconds
        limit = minOf(timeout, call.callerTimeout ?: timeout)
        val chosen = drawService(found)
        service = chosen
        node.repeats.requested(chosen)
        if (found.isResumable) events = EventSplitter()
        deadline = node.loop.schedule(
            ::timeOut,
            (limit + ANSWER_GRACE).inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        place()
    }

    private fun waitForRouting() {
        val callerTimeout = call.callerTimeout ?: LONGEST_HOLD
        val hold = minOf(callerTimeout * HELD_SHARE, LONGEST_HOLD) - startedAt.elapsedNow()
        if (!hold.isPositive()) return refuse(FinalReason.NO_ROUTING, UNREADY_PAUSE)
        node.hold(this)
        deadline = node.loop.schedule(
            {
                node.release(this)
                refuse(FinalReason.NO_ROUTING, UNREADY_PAUSE)
            },
            hold.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun drawService(found: ForwardingRoute): ServiceName {
        val total = found.shares.sumOf { it.weight }
        var draw = node.random.nextInt(total)
        for (share in found.shares) {
            draw -= share.weight
            if (draw < 0) return share.service
        }
        return found.shares.last().service
    }

    private fun place() {
        val chosenRoute = checkNotNull(route) { "placed without a route" }
        val request = PlacementRequest(
            service = checkNotNull(service) { "placed without a service" },
            prompt = call.prompt,
            objective = chosenRoute.objectiveMilliseconds.milliseconds - startedAt.elapsedNow(),
            remaining = remaining,
            excluded = tried,
        )
        when (val choice = node.selector.choose(request)) {
            is PlacementChoice.Chosen -> attempt(choice.target, choice.cachedAt)
            is PlacementChoice.Refused ->
                giveUp(FinalReason.of(choice.reason), choice.retryAfter)
        }
    }

    private fun attempt(target: DiscoveredTarget, cachedAt: DiscoveredTarget?) {
        tried += target.name
        lastTarget = target.name
        attempts += 1
        val next =
            TargetAttempt(this, target, cachedAt, node.selector.begin(target.name, call.prompt))
        current = next
        val kept = node.pool.takeIdle(target.name)
        if (kept != null) next.send(kept) else node.pool.connect(target, next::connected)
    }

    /** The caller's connection became writable or stopped being so. */
    fun callerWritable(isWritable: Boolean) {
        current?.connection?.setReading(isWritable)
    }

    /** The caller closed its connection. */
    fun callerLeft() {
        if (isDone) return
        current?.cancel(AttemptResult.INCONCLUSIVE)
        end("caller-left", FinalReason.CALLER_LEFT)
    }

    private fun timeOut() {
        if (isDone) return
        val isSilent = !isHeadSent && startedAt.elapsedNow() > SILENCE_LIMIT
        current?.cancel(if (isSilent) AttemptResult.SILENT else AttemptResult.INCONCLUSIVE)
        if (isHeadSent) return abort(FinalReason.TIMEOUT)
        fail(HttpResponseStatus.GATEWAY_TIMEOUT, FinalReason.TIMEOUT, OwnAnswer.UNKNOWN)
    }

    /** Tries another target if that is allowed, else gives the final answer. */
    fun attemptEnded(ended: TargetAttempt, reason: FinalReason, cause: String, isNotRun: Boolean) {
        current = null
        if (!isNotRun) {
            mayHaveRun = true
            runs += 1
        }
        val isAllowed = when {
            remaining < SHORTEST_ATTEMPT || attempts >= MAXIMUM_ATTEMPTS -> false
            // Two runs can only be joined between whole events.
            isHeadSent && events == null -> false
            isNotRun -> true
            else -> isRepeatable && runs < (route?.maximumTargets ?: 1)
        }
        val willRetry = isAllowed && (ended.wasNeverSent || takeRepeat())
        val next = if (willRetry) "another-target" else "final-answer"
        node.log.attemptFailed(call.requestIdentifier, ended.target.name.value, cause, next)
        if (willRetry) {
            events?.dropPartial()
            place()
        } else {
            giveUp(reason, BUSY_PAUSE)
        }
    }

    /** Whether a failure of the present attempt may be replaced by another target's answer. */
    fun mayTryAgain(): Boolean = isRepeatable &&
        runs + 1 < (route?.maximumTargets ?: 1) &&
        remaining > SHORTEST_ATTEMPT

    /** Passes the head of the answer on. */
    fun passHead(response: HttpResponse) {
        isHeadSent = true
        status = response.status().code()
        if (status !in SUCCESS) events = null
        caller.writeHead(response)
    }

    /** The present attempt's answer has been passed on whole. */
    fun answered() {
        current = null
        end("answered", FinalReason.COMPLETE)
        caller.finish()
    }

    private fun takeRepeat(): Boolean =
        service?.let { node.repeats.take(it, node.selector.entries) } == true

    private fun giveUp(reason: FinalReason, retryAfter: Duration) {
        when {
            isHeadSent -> abort(reason)
            mayHaveRun -> fail(HttpResponseStatus.BAD_GATEWAY, reason, OwnAnswer.UNKNOWN)
            else -> refuse(reason, retryAfter)
        }
    }

    /** The request has not run and never will; the caller may come back after [retryAfter]. */
    private fun refuse(reason: FinalReason, retryAfter: Duration) {
        finishWith(OwnAnswer.refusal(reason, retryAfter), "refused", reason)
    }

    private fun fail(failure: HttpResponseStatus, reason: FinalReason, outcome: String) =
        finishWith(OwnAnswer.failure(failure, reason, outcome), "failed", reason)

    private fun finishWith(
        response: DefaultFullHttpResponse,
        outcome: String,
        reason: FinalReason,
    ) {
        status = response.status().code()
        end(outcome, reason)
        caller.answer(response)
    }

    private fun abort(reason: FinalReason) {
        end("broken-off", reason)
        caller.abort()
    }

    private fun end(outcome: String, reason: FinalReason) {
        isDone = true
        node.release(this)
        deadline?.cancel(false)
        body.release()
        node.log.finished(
            ExchangeSummary(
                call.requestIdentifier,
                route?.name,
                lastTarget?.value,
                attempts,
                status,
                outcome,
                reason.text,
                startedAt.elapsedNow(),
                revision,
            ),
        )
    }

    private companion object {
        val SUCCESS = 200..299

        /** With a shorter timeout, a missing answer does not show that the target is lost. */
        val SILENCE_LIMIT = 1_000.milliseconds

        /** Targets tried for one request, most of which were not reached or stated not run. */
        const val MAXIMUM_ATTEMPTS = 4

        /** A target can hardly answer in less. */
        val SHORTEST_ATTEMPT = 20.milliseconds

        /** The target's own answer to its deadline arrives a little after it. */
        val ANSWER_GRACE = 100.milliseconds

        /** Share of a caller's time for which its request waits for routing. */
        const val HELD_SHARE = 0.5

        /** Controllers that start with the entry have elected a leader by then. */
        val LONGEST_HOLD = 2_500.milliseconds

        /** Routing arrives within about this time of a start. */
        val UNREADY_PAUSE = 500.milliseconds

        /** A full target typically frees a slot within this time. */
        val BUSY_PAUSE = 150.milliseconds
    }
}
