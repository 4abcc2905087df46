package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.StatedPause
import org.hibiscusproxy.forwarding.StatedRate

/** A wire format without keys, prompts and statements of targets. */
internal open class PlainWireFormat : WireFormat {
    override val readinessPath = "/ready"

    override fun readRequest(headers: HttpHeaders) = RequestMetadata(
        requestIdentifier = headers["X-Request-Id"],
        callerTimeout = headers["X-Deadline-Ms"]?.toLong()?.milliseconds,
        accessKey = null,
        prompt = null,
        lastEventIdentifier = null,
        resumedIdentifier = null,
    )

    override fun writeTargetHeaders(headers: HttpHeaders, values: TargetRequestHeaders) = Unit

    override fun readResponse(status: Int, headers: HttpHeaders) = ResponseMetadata(
        requestIdentifiers = headers.getAll("X-Request-Id").toSet(),
        execution = ExecutionStatus.MAY_HAVE_RUN,
        isSigned = true,
        isCompressed = false,
        keepAliveTimeout = null,
        coldDuration = null,
        statedRate = StatedRate.Unlimited,
        isLeaving = false,
        statedPause = StatedPause.None,
    )

    override fun removeConnectionHeaders(headers: HttpHeaders) = Unit
}
