package org.hibiscusproxy.forwarding

import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/**
 * What entries need to know to forward HTTP requests by host and path: routes, the services behind
 * them, the teams with their access keys, and the limits of callers' connections. It is published
 * as a whole under a version that its author chooses; the highest version wins.
 */
@Serializable
data class RoutingConfiguration(
    val version: Long,
    val routes: List<ForwardingRoute> = emptyList(),
    val services: List<ForwardingService> = emptyList(),
    val teams: List<TeamAccess> = emptyList(),
    val limits: CallerLimits = CallerLimits(),
)

/**
 * Requests for [host] whose path begins with [pathPrefix], and how they are treated.
 *
 * @property timeoutMilliseconds longest time that a caller is kept waiting for the whole answer
 * @property objectiveMilliseconds time within which an answer, or a stream's first event, is on time
 * @property priority rank of the route, 0 first
 * @property shares services that answer, with their shares of the requests
 * @property maximumTargets targets that may run one attempt of a caller
 * @property isPublic whether callers need no access key
 * @property isSticky whether requests carry a prompt prefix that targets cache
 * @property isResumable whether a stream may go on at another target
 * @property longestPauseMilliseconds longest pause between events that is on time; 0 if not stated
 */
@Serializable
data class ForwardingRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeoutMilliseconds: Long,
    val objectiveMilliseconds: Long,
    val priority: Int = 0,
    val shares: List<ServiceShare>,
    val maximumTargets: Int = 1,
    val isPublic: Boolean = false,
    val isSticky: Boolean = false,
    val isResumable: Boolean = false,
    val longestPauseMilliseconds: Long = 0,
) {
    /** Whether a request that may have run may run again. */
    val isRepeatable: Boolean
        get() = when (kind) {
            RequestKind.SAFE -> true
            RequestKind.UNSAFE -> false
            RequestKind.STREAMING -> isResumable
        }
}

/** What may be done with a request after its outcome became unknown. */
@Serializable
enum class RequestKind {
    /** It may run more than once. */
    SAFE,

    /** It runs at most once. */
    UNSAFE,

    /** The answer is a sequence of events; repeatable only on a resumable route. */
    STREAMING,
}

/** Share of a route's requests that [service] answers, as a weight. */
@Serializable
data class ServiceShare(val service: ServiceName, val weight: Int)

/**
 * A service behind the routes.
 *
 * @property maximumConnections connections that one target accepts from all callers together
 * @property coldRequestsPerSecond requests per second that a cold target can sustain; 0 if never cold
 * @property engine set for model engines
 */
@Serializable
data class ForwardingService(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double = 0.0,
    val engine: EngineCapacity? = null,
)

/** What one model engine holds: requests that run at once and tokens in its memory. */
@Serializable
data class EngineCapacity(val slots: Int, val memoryTokens: Long)

/** A team and the access keys by which its callers are known. */
@Serializable
data class TeamAccess(val name: TeamName, val keys: List<String>, val priority: Int? = null)

/** Bounds of what a caller may send and of how long it may take or stay idle. */
@Serializable
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerMilliseconds: Long = 3_000,
    val idleMilliseconds: Long = 15_000,
)
