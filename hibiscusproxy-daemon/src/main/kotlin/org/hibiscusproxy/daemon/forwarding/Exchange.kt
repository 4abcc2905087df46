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
    private val node: ForwardingNode,
    private val caller: CallerConnection,
    private val head: HttpRequest,
    private val body: ByteBuf,
) {
    private val startedAt = node.time.markNow()
    private val call = node.wire.readCall(head.headers())
    private val tried = LinkedHashSet<TargetName>()
    private var revision = node.revision
    private var route: ForwardingRoute? = null
    private var team: TeamAccess? = null
    private var service: ServiceName? = null
    private var limit: Duration = Duration.INFINITE
    private var deadline: ScheduledFuture<*>? = null
    private var current: Attempt? = null
    private var lastTarget: TargetName? = null
    private var attempts = 0
    private var runs = 0
    private var isHeadSent = false
    private var status = 0
    private var isDone = false
    private var events: EventSplitter? = null
    private var mayHaveRun = false

    private val isRepeatable: Boolean get() = route?.isRepeatable == true
    private val remaining: Duration get() = limit - startedAt.elapsedNow()

    /**
     * Finds the route and sends the request to a target, or answers at once. While the process
     * starts and has not got routing or targets, the request waits for them for part of its time.
     */
    fun start() {
        val index = node.routes
        if (index == null || !node.isServing) return waitForRouting()
        deadline?.cancel(false)
        revision = node.revision
        val host = head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val found = index.route(host, head.uri().substringBefore('?'))
            ?: return fail(HttpResponseStatus.NOT_FOUND, FinalReason.NO_ROUTE, NOT_RUN)
        route = found
        if (index.needsKeys && !found.isPublic) {
            team = call.accessKey?.let(index::team)
                ?: return fail(HttpResponseStatus.UNAUTHORIZED, FinalReason.UNKNOWN_KEY, NOT_RUN)
        }
        val timeout = found.timeoutMilliseconds.milliseconds
        limit = minOf(timeout, call.patience ?: timeout)
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
        val patience = call.patience ?: LONGEST_HOLD
        val hold = minOf(patience * HELD_SHARE, LONGEST_HOLD) - startedAt.elapsedNow()
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
        when (val choice = node.book.choose(request)) {
            is PlacementChoice.Chosen -> attempt(choice.target, choice.cachedAt)
            is PlacementChoice.Refused ->
                giveUp(FinalReason.of(choice.reason), choice.retryAfter)
        }
    }

    private fun attempt(target: DiscoveredTarget, cachedAt: DiscoveredTarget?) {
        tried += target.name
        lastTarget = target.name
        attempts += 1
        val next = Attempt(target, cachedAt, node.book.begin(target.name, call.prompt))
        current = next
        val kept = node.pool.takeIdle(target.name)
        if (kept != null) next.send(kept) else node.pool.connect(target, next::connected)
    }

    /** The caller takes bytes again, or has enough of them for now. */
    fun callerWritable(isWritable: Boolean) {
        current?.connection?.setReading(isWritable)
    }

    /** The caller closed its connection. */
    fun callerLeft() {
        if (isDone) return
        current?.cancel(AttemptResult.UNTOLD)
        end("caller-left", FinalReason.CALLER_LEFT)
    }

    private fun timeOut() {
        if (isDone) return
        current?.cancel(if (isHeadSent) AttemptResult.UNTOLD else AttemptResult.SILENT)
        if (isHeadSent) return abort(FinalReason.TIMEOUT)
        fail(HttpResponseStatus.GATEWAY_TIMEOUT, FinalReason.TIMEOUT, UNKNOWN)
    }

    /** Tries another target if that is allowed, else gives the final answer. */
    private fun attemptEnded(
        ended: Attempt,
        reason: FinalReason,
        cause: String,
        isNotRun: Boolean,
    ) {
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
        val goesOn = isAllowed && (ended.wasNeverSent || takeRepeat())
        val next = if (goesOn) "another-target" else "final-answer"
        node.log.attemptFailed(call.requestIdentifier, ended.target.name.value, cause, next)
        if (goesOn) {
            events?.dropPartial()
            place()
        } else {
            giveUp(reason, BUSY_PAUSE)
        }
    }

    private fun takeRepeat(): Boolean =
        service?.let { node.repeats.take(it, node.book.entries) } == true

    private fun giveUp(reason: FinalReason, retryAfter: Duration) {
        when {
            isHeadSent -> abort(reason)
            mayHaveRun -> fail(HttpResponseStatus.BAD_GATEWAY, reason, UNKNOWN)
            else -> refuse(reason, retryAfter)
        }
    }

    /** The request has not run and never will; the caller may come back after [retryAfter]. */
    private fun refuse(reason: FinalReason, retryAfter: Duration) {
        val response = ownAnswer(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, NOT_RUN)
        val seconds = "%.3f".format(
            java.util.Locale.ROOT,
            retryAfter.toDouble(DurationUnit.SECONDS),
        )
        response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds)
        finishWith(response, "refused", reason)
    }

    private fun fail(failure: HttpResponseStatus, reason: FinalReason, outcome: String) =
        finishWith(ownAnswer(failure, reason, outcome), "failed", reason)

    private fun ownAnswer(failure: HttpResponseStatus, reason: FinalReason, outcome: String) =
        DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            failure,
            Unpooled.copiedBuffer("{\"error\":{\"type\":\"${reason.text}\"}}", UTF_8),
        ).also { response ->
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            response.headers().set(
                HttpHeaderNames.CONTENT_LENGTH,
                response.content().readableBytes(),
            )
            response.headers().set(OUTCOME_HEADER, outcome)
        }

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

    /** One sending to one target. */
    private inner class Attempt(
        val target: DiscoveredTarget,
        private val cachedAt: DiscoveredTarget?,
        private val placed: PlacedAttempt,
    ) : AnswerListener {
        var connection: TargetConnection? = null
            private set
        private var isOver = false
        private var answerStatus = 0
        private var isPassedOver = false
        private var isStatedNotRun = false
        private var heldHead: HttpResponse? = null
        private var heldBody: ByteBuf? = null

        /** Whether no byte of the request left for the target. */
        var wasNeverSent = true
            private set

        fun connected(opened: TargetConnection?) {
            if (isOver) {
                opened?.cancel()
            } else if (opened == null) {
                over(AttemptResult.UNREACHABLE)
                attemptEnded(
                    this,
                    FinalReason.TARGET_UNREACHABLE,
                    "no connection",
                    isNotRun = true,
                )
            } else {
                send(opened)
            }
        }

        fun send(opened: TargetConnection) {
            connection = opened
            wasNeverSent = false
            opened.send(targetRequest(), call.requestIdentifier, this)
        }

        fun cancel(result: AttemptResult) {
            over(result)
            connection?.cancel()
        }

        private fun over(result: AttemptResult) {
            isOver = true
            if (result != AttemptResult.ANSWERED) dropHeld()
            node.book.end(placed, result)
        }

        private fun dropHeld() {
            heldBody?.release()
            heldBody = null
        }

        private fun targetRequest(): DefaultFullHttpRequest {
            val headers = DefaultHttpHeaders()
            headers.set(head.headers())
            val isEngine = call.prompt != null
            node.wire.writeTargetCall(
                headers,
                TargetCall(
                    target.name,
                    team?.name,
                    remaining.inWholeMilliseconds.coerceAtLeast(1),
                    urgency().takeIf { isEngine },
                    events?.lastIdentifier ?: call.resumesAfter,
                    cachedAt?.address,
                ),
            )
            val hasBody = body.isReadable ||
                head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
                head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            return DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                DefaultHttpHeaders(),
            )
        }

        private fun urgency(): Int {
            val priority = team?.priority ?: route?.priority ?: 0
            return (URGENCY_OF_FIRST + priority).coerceIn(0, LEAST_URGENT)
        }

        override fun onHead(response: HttpResponse, facts: AnswerFacts) {
            answerStatus = response.status().code()
            facts.coldFor?.let { node.book.reportedCold(target.name, it) }
            if (facts.statement != RunStatement.MAY_HAVE_RUN) {
                isPassedOver = true
                isStatedNotRun = true
                return
            }
            val isSuccess = answerStatus in SUCCESS
            if (isSuccess && (!facts.isSealed || facts.isEncoded)) return invalid("unsigned answer")
            node.book.answered(placed)
            if (isHeadSent) {
                if (!isSuccess) invalid("resume answered $answerStatus")
                return
            }
            val isStream = isSuccess && events != null
            if (answerStatus >= SERVER_FAILURE && mayTryAgain()) {
                isPassedOver = true
                return
            }
            if (isSuccess && mayHold(response)) {
                heldHead = response
                heldBody = Unpooled.buffer()
                return
            }
            if (!isStream) events = null
            passHead(response)
        }

        private fun passHead(response: HttpResponse) {
            isHeadSent = true
            status = response.status().code()
            caller.writeHead(response)
        }

        /** A short answer is passed on once it is whole, so that a broken one can be replaced. */
        private fun mayHold(response: HttpResponse): Boolean = route?.kind == RequestKind.SAFE &&
            HttpUtil.getContentLength(response, Long.MAX_VALUE) <= HELD_BYTES

        private fun mayTryAgain() = isRepeatable &&
            runs + 1 < (route?.maximumTargets ?: 1) &&
            remaining > SHORTEST_ATTEMPT

        private fun invalid(reason: String) {
            connection?.cancel()
            onBroken(reason)
        }

        override fun onContent(content: HttpContent) {
            if (isPassedOver || isOver) return
            heldBody?.let {
                it.writeBytes(content.content())
                return
            }
            val splitter = events
            val bytes = splitter?.take(content.content()) ?: content.content().retain()
            if (bytes.isReadable) caller.writeContent(bytes) else bytes.release()
            if (!caller.isWritable) connection?.setReading(false)
        }

        override fun onEnd() {
            if (isOver) return
            if (isPassedOver) {
                over(if (isStatedNotRun) AttemptResult.UNTOLD else AttemptResult.FAILED)
                val reason = if (isStatedNotRun) {
                    FinalReason.TARGET_REFUSED
                } else {
                    FinalReason.TARGET_FAILED
                }
                return attemptEnded(this, reason, "answered $answerStatus", isStatedNotRun)
            }
            if (events?.hasPartial == true) return onBroken("unfinished event")
            over(
                if (answerStatus >=
                    SERVER_FAILURE
                ) {
                    AttemptResult.FAILED
                } else {
                    AttemptResult.ANSWERED
                },
            )
            current = null
            heldHead?.let(::passHead)
            heldBody?.let(caller::writeContent)
            heldBody = null
            end("answered", FinalReason.COMPLETE)
            caller.finish()
        }

        override fun onBroken(cause: String) {
            if (isOver) return
            over(AttemptResult.BROKEN)
            attemptEnded(this, FinalReason.TARGET_LOST, cause, isStatedNotRun)
        }
    }

    private companion object {
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        const val NOT_RUN = "not-run"
        const val UNKNOWN = "unknown"
        val SUCCESS = 200..299
        const val SERVER_FAILURE = 500

        /** Answers of plain services are smaller; longer ones are passed on as they come. */
        const val HELD_BYTES = 65_536L

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

        /** A target that is full has a free place after about as long. */
        val BUSY_PAUSE = 150.milliseconds

        /** Leaves two more urgent ranks for later use. */
        const val URGENCY_OF_FIRST = 2
        const val LEAST_URGENT = 9
    }
}
