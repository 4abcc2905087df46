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
 * Handles callers' requests without blocking Javalin's threads: reads the body asynchronously,
 * executes the request in a coroutine, and writes the answer or a typed failure.
 */
internal class RequestHandler(
    private val process: ProcessName,
    private val roleContext: RoleContext,
    private val executionContext: ExecutionContext,
    private val maximumBodyBytes: Int,
    private val scope: CoroutineScope,
) {
    private val requestCounter = AtomicLong()
    private val bodyBudget = BodyBudget.ofHeap()
    private val inProgressCounter = AtomicInteger()
    private val incarnationText = roleContext.incarnation.value.toString(IDENTIFIER_RADIX)

    /** Number of requests in progress. */
    val inProgress: Int get() = inProgressCounter.get()

    /** Whether new requests are rejected because the entry is shutting down. */
    @Volatile
    var rejectsRequests: Boolean = false

    /** Handles [context]; [read] validates the request against the newest state. */
    fun handle(
        context: Context,
        read: RequestReader.(RawRequest) -> Result<CallerRequest, CallerFailure>,
    ) {
        val identifier =
            RequestIdentifier("$process-$incarnationText-${requestCounter.incrementAndGet()}")
        context.future {
            val response = CallerResponse(context.req(), context.res(), RESPONSE_BUFFER_BYTES)
            inProgressCounter.incrementAndGet()
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
                    LOG.debug(
                        "entry: caller of {} disconnected: {}",
                        identifier,
                        failure.toString(),
                    )
                    response.abort()
                } catch (failure: Exception) {
                    LOG.error("entry: unexpected failure of request {}", identifier, failure)
                    response.abort()
                } finally {
                    body.release()
                    inProgressCounter.decrementAndGet()
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
        val snapshot = executionContext.view.current
        val checked = received.andThen { bytes ->
            when {
                rejectsRequests -> Err(CallerFailure.draining())
                snapshot == null -> Err(CallerFailure.notConfigured())
                else -> snapshot.reader.read(request.toRaw(identifier, bytes))
            }
        }
        checked.fold(
            { runAndAnswer(request, response, it) },
            { fail(response, identifier, it, closesConnection = received.isErr) },
        )
    }

    private suspend fun runAndAnswer(
        request: HttpServletRequest,
        response: CallerResponse,
        checked: CallerRequest,
    ) {
        roleContext.events.record(
            FleetEvent.RequestReceived(checked.identifier, checked.routed.team),
        )
        val execution = RequestExecution(checked, response, executionContext)
        val watcher = DisconnectWatcher(request)
        watcher.start { execution.onCallerDisconnected() }
        response.done.thenRun { execution.onCallerDisconnected() }
        val outcome = execution.run()
        watcher.stop()
        finish(
            response,
            checked,
            if (execution.isCallerDisconnected) RequestOutcome.CallerDisconnected else outcome,
        )
    }

    private fun finish(response: CallerResponse, request: CallerRequest, outcome: RequestOutcome) {
        when (outcome) {
            is RequestOutcome.Answered -> {
                outcome.buffered?.let { writeBuffered(response, request.identifier, it) }
                response.end()
                executionContext.meters.requestEnded("answered")
                roleContext.events.record(
                    FleetEvent.RequestAnswered(request.identifier, outcome.status),
                )
            }

            is RequestOutcome.Failed -> fail(response, request.identifier, outcome.failure)

            is RequestOutcome.Interrupted -> interrupt(
                response,
                request.identifier,
                outcome.failure,
            )

            RequestOutcome.CallerDisconnected -> {
                executionContext.meters.requestEnded("caller-gone")
                response.abort()
            }
        }
    }

    private fun writeBuffered(
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
        closesConnection: Boolean = false,
    ) {
        executionContext.meters.requestEnded(failure.type)
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
            if (closesConnection || rejectsRequests) add(Header("Connection", "close"))
        }
        response.begin(failure.status, headers)
        response.write(bytes)
        response.end()
    }

    /** Ends an event stream with an error event and without `[DONE]`; aborts any other response. */
    private fun interrupt(
        response: CallerResponse,
        identifier: RequestIdentifier,
        failure: CallerFailure,
    ) {
        executionContext.meters.requestEnded(failure.type)
        val attempt = Attempt(identifier, 1)
        roleContext.events.record(FleetEvent.RequestBroken(attempt, BrokenReason.TARGET_LOST))
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
        const val IDENTIFIER_RADIX = 36
        const val RESPONSE_BUFFER_BYTES = 1_048_576
        const val OUTCOME_HEADER = "X-Hibiscus-Outcome"
        const val REQUEST_HEADER = "X-Request-Id"
        val BODY_TIMEOUT = 30.seconds
        val LOG: Logger = LoggerFactory.getLogger(RequestHandler::class.java)
    }
}
