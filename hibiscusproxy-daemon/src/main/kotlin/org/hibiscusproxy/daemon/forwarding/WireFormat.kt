package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import org.hibiscusproxy.forwarding.LoadStatement
import org.hibiscusproxy.forwarding.Prompt
import org.hibiscusproxy.forwarding.StatedPause
import org.hibiscusproxy.forwarding.StatedRate
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/** Header names and formats of the HTTP interfaces to callers and targets. */
interface WireFormat {
    /** Path of the health check with which the platform asks whether the forwarder is ready. */
    val readinessPath: String

    /** Parses the metadata in the headers of a caller's request. */
    fun readRequest(headers: HttpHeaders): RequestMetadata

    /**
     * Turns the [headers] of a caller's request into those of the request to a target. Removes
     * connection-specific headers, headers that callers may not set and the access key, then sets
     * [values].
     */
    fun writeTargetHeaders(headers: HttpHeaders, values: TargetRequestHeaders)

    /** Parses the metadata in the status and headers of a target's response. */
    fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Removes the connection-specific headers of a response from [headers]. */
    fun removeConnectionHeaders(headers: HttpHeaders)
}

/**
 * Metadata from the headers of a caller's request.
 *
 * @property requestIdentifier unique for each attempt of the caller; null if there is none or several
 * @property callerTimeout how long the caller waits for the response
 * @property lastEventIdentifier identifier of the last stream event that the caller received
 * @property resumedIdentifier identifier of the attempt that brought the stream's first event
 */
data class RequestMetadata(
    val requestIdentifier: String?,
    val callerTimeout: Duration?,
    val accessKey: String?,
    val prompt: Prompt?,
    val lastEventIdentifier: String?,
    val resumedIdentifier: String?,
)

/**
 * Values of the headers that the forwarder sets on a request to a target.
 *
 * @property target the only target that may execute the request
 * @property remainingMilliseconds time until the timeout of the caller or of the route
 * @property urgency scheduling rank at a model engine, 0 first; null for plain services
 * @property lastEventIdentifier identifier of the last stream event that the caller received
 * @property cacheSource engine from which the target copies the uncached part of the prompt
 */
data class TargetRequestHeaders(
    val target: TargetName,
    val team: TeamName?,
    val remainingMilliseconds: Long,
    val urgency: Int?,
    val lastEventIdentifier: String?,
    val cacheSource: NetworkAddress?,
)

/** Whether a target executed a request. */
enum class ExecutionStatus {
    /** The target executed the request or may have executed it. */
    MAY_HAVE_RUN,

    /** The target states that it did not execute the request. */
    NOT_RUN,

    /** A different target responded and did not execute the request. */
    OTHER_TARGET,
}

/**
 * Metadata from the status and headers of a target's response.
 *
 * @property requestIdentifiers identifiers of the requests that the response names
 * @property isSigned whether the response carries the target's signature
 * @property isCompressed whether the body is compressed, which no caller requests
 * @property keepAliveTimeout how long the target keeps an idle connection open; null if not stated
 * @property coldDuration how long the target remains cold; null if not stated
 * @property statedRate rate of requests that the target takes from all forwarders together
 * @property isLeaving whether the target states that it takes no new requests
 * @property statedPause time for which the target wants no request from this forwarder
 * @property load requests that the target holds, and its speed
 */
data class ResponseMetadata(
    val requestIdentifiers: Set<String>,
    val execution: ExecutionStatus,
    val isSigned: Boolean,
    val isCompressed: Boolean,
    val keepAliveTimeout: Duration?,
    val coldDuration: Duration?,
    val statedRate: StatedRate,
    val isLeaving: Boolean,
    val statedPause: StatedPause,
    val load: LoadStatement = LoadStatement.None,
)
