package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.hibiscusproxy.forwarding.StatedPause
import org.hibiscusproxy.forwarding.StatedRate

/** Headers with the names that [ForwarderFixture] and its targets use. */
internal object HeaderWireFormat : WireFormat {
    override val readinessPath = "/ready"

    override fun readRequest(headers: HttpHeaders) = RequestMetadata(
        requestIdentifier = headers["X-Request-Id"],
        callerTimeout = headers["X-Deadline-Ms"]?.toLong()?.milliseconds,
        accessKey = null,
        prompt = null,
        lastEventIdentifier = headers["Last-Event-Id"],
        resumedIdentifier = headers["Resumes"],
    )

    override fun writeTargetHeaders(headers: HttpHeaders, values: TargetRequestHeaders) {
        headers.set("X-Deadline-Ms", values.remainingMilliseconds)
        values.lastEventIdentifier?.let { headers.set("Last-Event-Id", it) }
    }

    override fun readResponse(status: Int, headers: HttpHeaders) = ResponseMetadata(
        requestIdentifiers = headers.getAll("X-Request-Id").toSet(),
        execution = if ("X-Not-Executed" in headers) {
            ExecutionStatus.NOT_RUN
        } else {
            ExecutionStatus.MAY_HAVE_RUN
        },
        isSigned = true,
        isCompressed = false,
        keepAliveTimeout = 10.seconds,
        coldDuration = null,
        statedRate = StatedRate.Unlimited,
        isLeaving = false,
        statedPause = headers["Retry-After"]?.let { StatedPause.Lasting(it.toInt().seconds) }
            ?: StatedPause.None,
    )

    override fun removeConnectionHeaders(headers: HttpHeaders) = Unit
}
