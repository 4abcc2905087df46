package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import org.hibiscusproxy.forwarding.Prompt
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/** Names and formats of the headers that callers, targets and the entry exchange. */
interface WireFormat {
    /** Path at which the platform asks whether the entry takes new callers. */
    val readinessPath: String

    /** Reads what a caller says of its request. */
    fun readRequest(headers: HttpHeaders): RequestMetadata

    /**
     * Turns [headers] of a caller into those for a target: what concerns one connection only, what
     * callers may not set and the access key are removed, and [values] is written.
     */
    fun writeTargetHeaders(headers: HttpHeaders, values: TargetRequestHeaders)

    /** Reads what a target says about its answer. */
    fun readResponse(status: Int, headers: HttpHeaders): ResponseMetadata

    /** Removes from [headers] of an answer what concerns one connection only. */
    fun removeConnectionHeaders(headers: HttpHeaders)
}

/**
 * What a caller says of its request.
 *
 * @property requestIdentifier one for each attempt of the caller
 * @property callerTimeout how long the caller waits, as it says
 * @property lastEventIdentifier identifier of the last event of a stream that the caller has
 */
data class RequestMetadata(
    val requestIdentifier: String?,
    val callerTimeout: Duration?,
    val accessKey: String?,
    val prompt: Prompt?,
    val lastEventIdentifier: String?,
)

/**
 * Headers that the entry sets on a request to a target.
 *
 * @property target the only target that may run the request
 * @property remainingMilliseconds time until the caller or the route times out
 * @property urgency rank at a model engine, 0 first; null at plain services
 * @property lastEventIdentifier identifier of the last event that the caller has
 * @property cacheSource engine from which the target should copy what it lacks of the prompt
 */
data class TargetRequestHeaders(
    val target: TargetName,
    val team: TeamName?,
    val remainingMilliseconds: Long,
    val urgency: Int?,
    val lastEventIdentifier: String?,
    val cacheSource: NetworkAddress?,
)

/** Whether a target ran a request. */
enum class ExecutionStatus {
    /** It ran, or may have. */
    MAY_HAVE_RUN,

    /** The target states that it did not run the request. */
    NOT_RUN,

    /** Another target answered, which did not run the request. */
    OTHER_TARGET,
}

/**
 * What a target says about its answer.
 *
 * @property isSigned whether the answer carries the target's signature
 * @property isCompressed whether the body is compressed, which no caller asks for
 * @property keepAliveTimeout how long the target keeps the idle connection; null if not stated
 * @property coldDuration how long the target stays cold; null if not stated
 */
data class ResponseMetadata(
    val requestIdentifier: String?,
    val execution: ExecutionStatus,
    val isSigned: Boolean,
    val isCompressed: Boolean,
    val keepAliveTimeout: Duration?,
    val coldDuration: Duration?,
)
