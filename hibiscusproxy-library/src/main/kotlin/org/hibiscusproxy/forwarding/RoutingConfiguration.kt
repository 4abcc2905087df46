package org.hibiscusproxy.forwarding

import kotlin.random.Random
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/**
 * Configuration for forwarding HTTP requests by host and path: routes, their services, teams with
 * access keys, and limits of callers' connections. It is published as a whole with a version that
 * its author chooses; the highest version takes effect.
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
 * Forwarding rule for requests to [host] whose path starts with [pathPrefix].
 *
 * @property timeoutMilliseconds timeout of the complete response
 * @property objectiveMilliseconds latency objective of a response, or of a stream's first event
 * @property priority rank of the route; 0 is the highest
 * @property shares services that handle the requests, with their weights
 * @property maximumTargets maximum number of targets that may run a caller's request
 * @property isPublic whether callers need no access key
 * @property isSticky whether requests carry a prompt prefix that targets cache
 * @property isResumable whether another target may continue a stream
 * @property longestPauseMilliseconds latency objective between a stream's events; 0 if unspecified
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
    /** Selects one of the services at random, by their weights. */
    fun selectService(random: Random): ServiceName {
        var draw = random.nextLong(shares.sumOf { it.weight.toLong() })
        return shares.first { share ->
            draw -= share.weight
            draw < 0
        }.service
    }

    /** Whether a request may be retried although it may have run. */
    val isRepeatable: Boolean
        get() = when (kind) {
            RequestKind.SAFE -> true
            RequestKind.UNSAFE -> false
            RequestKind.STREAMING -> isResumable
        }
}

/** Determines whether a request may be retried when its outcome is unknown. */
@Serializable
enum class RequestKind {
    /** May run more than once. */
    SAFE,

    /** Runs at most once. */
    UNSAFE,

    /** The response is a sequence of events; repeatable only on a resumable route. */
    STREAMING,
}

/** Weight of [service] among the services of a route. */
@Serializable
data class ServiceShare(val service: ServiceName, val weight: Int)

/**
 * A service to which routes forward requests.
 *
 * @property maximumConnections number of connections that one target accepts
 * @property coldRequestsPerSecond rate that a cold target sustains; 0 if targets are never cold
 * @property engine capacity of a model engine; null for other services
 */
@Serializable
data class ForwardingService(
    val name: ServiceName,
    val healthPath: String,
    val maximumConnections: Int,
    val coldRequestsPerSecond: Double = 0.0,
    val engine: EngineCapacity? = null,
)

/** Capacity of a model engine: concurrent requests and tokens in its key-value cache. */
@Serializable
data class EngineCapacity(val slots: Int, val memoryTokens: Long)

/** A team and the access keys that authenticate its callers. */
@Serializable
data class TeamAccess(val name: TeamName, val keys: List<String>, val priority: Int? = null)

/** Limits on the size and duration of callers' requests and on idle connections. */
@Serializable
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerMilliseconds: Long = 3_000,
    val idleMilliseconds: Long = 15_000,
)
