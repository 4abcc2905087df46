package org.hibiscusproxy.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import io.javalin.http.Context
import jakarta.servlet.http.HttpServletRequest
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.daemon.BodyBudget
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.StoredAnswer
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Takes callers' requests from Javalin without holding a thread: reads the body asynchronously,
 * runs the request in a coroutine and writes the answer or a typed failure.
 */
internal class RequestHandler(
    private val process: ProcessName,
    private val role: RoleContext,
    private val run: RunContext,
    private val maximumBodyBytes: Int,
    private val scope: CoroutineScope,
) {
    private val numbers = AtomicLong()
    private val bodyBudget = BodyBudget.ofHeap()
    private val inProgressCount = AtomicInteger()
    private val start = role.incarnation.value.toString(RADIX)

    /** Requests received and not ended. */
    val inProgress: Int get() = inProgressCount.get()

    /** Whether requests are refused because the entry shuts down. */
    @Volatile
    var isRefusing: Boolean = false

    /** Handles [context]; [read] checks the request against the newest state. */
    fun handle(
        context: Context,
        read: RequestReader.(RawRequest) -> Result<CallerRequest, CallerFailure>,
    ) {
        val identifier = RequestIdentifier("$process-$start-${numbers.incrementAndGet()}")
        context.future {
            val response = CallerResponse(context.req(), context.res(), RESPONSE_BUFFER_BYTES)
            inProgressCount.incrementAndGet()
            val body = BodyReader(
                context.req().inputStream,
                maximumBodyBytes,
                bodyBudget,
            )
            scope.launch {
                try {
                    serve(context.req(), response, body, identifier, read)
                } catch (failure: CancellationException) {
                    throw failure
                } catch (failure: IOException) {
                    LOG.debug("entry: caller of {} left: {}", identifier, failure.toString())
                    response.abort()
                } catch (failure: Exception) {
                    LOG.error("entry: request {} failed", identifier, failure)
                    response.abort()
                } finally {
                    body.release()
                    inProgressCount.decrementAndGet()
                }
            }
            context.req().inputStream.setReadListener(body)
            response.done
        }
    }

    private suspend fun serve(
        request: HttpServletRequest,
        response: CallerResponse,
        body: BodyReader,
        identifier: RequestIdentifier,
        read: RequestReader.(RawRequest) -> Result<CallerRequest, CallerFailure>,
    ) {
        val received = withTimeoutOrNull(BODY_TIMEOUT) { body.body.await() }
            ?: Err(CallerFailure.bodyTimeout())
        val snapshot = run.view.current
        val checked = received.andThen { bytes ->
            when {
                isRefusing -> Err(CallerFailure.draining())
                snapshot == null -> Err(CallerFailure.notConfigured())
                else -> snapshot.reader.read(request.toRaw(identifier, bytes))
            }
        }
        checked.fold(
            { runAndAnswer(request, response, it) },
            { fail(response, identifier, it, closes = received.isErr) },
        )
    }

    private suspend fun runAndAnswer(
        request: HttpServletRequest,
        response: CallerResponse,
        checked: CallerRequest,
    ) {
        role.events.record(
            FleetEvent.RequestReceived(checked.identifier, checked.routed.team),
        )
        val requestRun = RequestRun(checked, response, run)
        val watch = CallerWatch(request)
        watch.start { requestRun.callerLeft() }
        response.done.thenRun { requestRun.callerLeft() }
        val end = requestRun.run()
        watch.stop()
        finish(response, checked, if (requestRun.hasCallerLeft) RequestEnd.CallerGone else end)
    }

    private fun finish(response: CallerResponse, request: CallerRequest, end: RequestEnd) {
        when (end) {
            is RequestEnd.Answered -> {
                end.held?.let { writeWhole(response, request.identifier, it) }
                response.end()
                run.meters.ended("answered")
                role.events.record(FleetEvent.RequestAnswered(request.identifier, end.status))
            }

            is RequestEnd.Failed -> fail(response, request.identifier, end.failure)

            is RequestEnd.BrokenOff -> breakOff(response, request.identifier, end.failure)

            RequestEnd.CallerGone -> {
                run.meters.ended("caller-gone")
                response.abort()
            }
        }
    }

    private fun writeWhole(
        response: CallerResponse,
        identifier: RequestIdentifier,
        answer: StoredAnswer,
    ) {
        val bytes = answer.body.bytes
        val own = listOf(
            Header("Content-Length", bytes.size.toString()),
            Header(REQUEST_HEADER, identifier.value),
        )
        response.begin(answer.status, answer.headers + own)
        response.write(bytes)
    }

    private fun fail(
        response: CallerResponse,
        identifier: RequestIdentifier,
        failure: CallerFailure,
        closes: Boolean = false,
    ) {
        run.meters.ended(failure.type)
        val bytes = failure.toJson(identifier).encodeToByteArray()
        val headers = buildList {
            add(Header("Content-Type", "application/json"))
            add(Header("Content-Length", bytes.size.toString()))
            add(Header(OUTCOME_HEADER, failure.outcome))
            add(Header(REQUEST_HEADER, identifier.value))
            failure.retryAfter?.let {
                val seconds = (it.inWholeMilliseconds + 999) / 1_000
                add(Header("Retry-After", seconds.coerceAtLeast(1).toString()))
            }
            if (closes || isRefusing) add(Header("Connection", "close"))
        }
        response.begin(failure.status, headers)
        response.write(bytes)
        response.end()
    }

    /** A stream ends with an error event and without its end mark; anything else is cut off. */
    private fun breakOff(
        response: CallerResponse,
        identifier: RequestIdentifier,
        failure: CallerFailure,
    ) {
        run.meters.ended(failure.type)
        val attempt = Attempt(identifier, 1)
        role.events.record(FleetEvent.RequestBroken(attempt, BrokenReason.TARGET_LOST))
        if (!response.isEventStream || !response.endsAtEventBoundary) {
            response.abort()
            return
        }
        val event = "event: error\ndata: ${failure.toJson(identifier)}\n\n"
        response.write(event.encodeToByteArray())
        response.end()
    }

    private fun HttpServletRequest.toRaw(identifier: RequestIdentifier, body: ByteArray) =
        RawRequest(
            identifier,
            method,
            requestURI,
            queryString,
            headerNames.toList().flatMap { name ->
                getHeaders(name).toList().map { Header(name, it) }
            },
            body,
        )

    private companion object {
        const val RADIX = 36
        const val RESPONSE_BUFFER_BYTES = 1_048_576
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        const val REQUEST_HEADER = "X-Request-Id"
        val BODY_TIMEOUT = 30.seconds
        val LOG: Logger = LoggerFactory.getLogger(RequestHandler::class.java)
    }
}
