package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.slf4j.Logger
import org.slf4j.LoggerFactory

private val LOG: Logger = LoggerFactory.getLogger(
    "org.hibiscusproxy.daemon.forwarding.ExchangeGuard",
)

/**
 * Runs a [step] of the request that the event loop called. If it throws, the caller gets its answer
 * at once, since nothing else would call the request again before its timeout.
 */
internal fun Exchange.guard(step: () -> Unit) {
    try {
        step()
    } catch (failure: Exception) {
        onStepFailed(failure)
    } catch (failure: Error) {
        onStepFailed(failure)
        // The event loop would log the error and go on.
        val thread = Thread.currentThread()
        thread.uncaughtExceptionHandler.uncaughtException(thread, failure)
    }
}

/** Answers the caller after a step of the request threw [failure]. */
internal fun Exchange.onStepFailed(failure: Throwable) {
    LOG.error("forwarder: request {} failed", metadata.requestIdentifier, failure)
    try {
        val wasOpen = endEarly(FinalReason.INTERNAL_FAILURE, HttpResponseStatus.BAD_GATEWAY)
        if (!wasOpen) caller.abort(this)
    } catch (second: Throwable) {
        LOG.error("forwarder: request {} is not answered", metadata.requestIdentifier, second)
        caller.abort(this)
    }
}

/** Passes a target's response to [listener]; a failure in it ends [exchange] with an answer. */
internal class GuardedListener(
    private val exchange: Exchange,
    private val listener: ResponseListener,
) : ResponseListener {
    override fun onHead(response: HttpResponse, metadata: ResponseMetadata) =
        exchange.guard { listener.onHead(response, metadata) }

    override fun onContent(content: HttpContent) = exchange.guard { listener.onContent(content) }

    override fun onEnd() = exchange.guard { listener.onEnd() }

    override fun onFailure(cause: String) = exchange.guard { listener.onFailure(cause) }

    override fun onRejected(cause: String) = exchange.guard { listener.onRejected(cause) }
}
