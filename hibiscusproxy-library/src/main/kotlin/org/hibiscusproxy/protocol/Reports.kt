package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load of one target as counted by its sidecar.
 *
 * @property running requests admitted and not yet finished
 * @property queued requests waiting at the sidecar
 * @property limit number of running requests that the sidecar currently admits
 */
@Serializable
data class LoadReport(
    @SerialName("r") val running: Int = 0,
    @SerialName("q") val queued: Int = 0,
    @SerialName("l") val limit: Int = 0,
)

/**
 * Total load of all targets of a service that accept new requests.
 *
 * @property running sum of running requests in the latest reports
 * @property targets number of targets counted
 */
@Serializable
data class PoolLoad(@SerialName("r") val running: Int, @SerialName("t") val targets: Int)

/** Why a sidecar did not run a request. */
@Serializable
enum class NotRunReason {
    /** The sidecar holds no valid lease. */
    @SerialName("no-lease")
    NO_LEASE,

    /** The data centre or the target accepts no new requests. */
    @SerialName("leaving")
    LEAVING,

    /** The load bound or the cold-start limit is reached and the queue is full. */
    @SerialName("overloaded")
    OVERLOADED,

    /** The request reached the maximum waiting time in the queue. */
    @SerialName("queue-timeout")
    QUEUE_TIMEOUT,

    /** The attempt was addressed to an earlier incarnation of the sidecar. */
    @SerialName("old-incarnation")
    OLD_INCARNATION,

    /** The attempt number was already refused or used. */
    @SerialName("stale-attempt")
    STALE_ATTEMPT,

    /** The request crashed targets and is refused for a limited time. */
    @SerialName("crashes-targets")
    CRASHES_TARGETS,

    /** The deadline passed before the request was sent to the target. */
    @SerialName("deadline")
    DEADLINE,

    /** The target refused the connection, so no byte reached it. */
    @SerialName("target-unreachable")
    TARGET_UNREACHABLE,

    /** The caller cancelled before the request was sent to the target. */
    @SerialName("cancelled")
    CANCELLED,

    /** The chat was placed at another target, which has its prefix cached. */
    @SerialName("cached-elsewhere")
    CACHED_ELSEWHERE,

    /** The attempt requires a cached prefix, and the sidecar knows of none. */
    @SerialName("not-cached")
    NOT_CACHED,
}

/** Why a response ended before it was complete. The request may have run. */
@Serializable
enum class BrokenReason {
    /** The connection to the target ended before the response was complete. */
    @SerialName("target-lost")
    TARGET_LOST,

    /** The deadline passed while the target was processing the request. */
    @SerialName("deadline")
    DEADLINE,

    /** The caller cancelled. */
    @SerialName("cancelled")
    CANCELLED,

    /** The sidecar's shutdown timeout expired. */
    @SerialName("shutdown")
    SHUTDOWN,

    /** The caller reads the response more slowly than the relaying process receives it. */
    @SerialName("slow-reader")
    SLOW_READER,
}
