package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Load of one target as its sidecar counts it.
 *
 * @property running requests admitted and not yet finished
 * @property queued requests waiting at the sidecar
 * @property limit running requests the sidecar admits at present
 */
@Serializable
data class LoadReport(
    @SerialName("r") val running: Int = 0,
    @SerialName("q") val queued: Int = 0,
    @SerialName("l") val limit: Int = 0,
)

/**
 * Load over all targets of a service that take new work.
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

    /** The data centre or the target takes no new work. */
    @SerialName("leaving")
    LEAVING,

    /** The load bound or the cold start limit is reached and the queue is full. */
    @SerialName("overloaded")
    OVERLOADED,

    /** The request waited in the queue for as long as it may. */
    @SerialName("queue-timeout")
    QUEUE_TIMEOUT,

    /** The attempt was meant for an earlier incarnation of the sidecar. */
    @SerialName("old-incarnation")
    OLD_INCARNATION,

    /** The attempt number was refused or used before. */
    @SerialName("stale-attempt")
    STALE_ATTEMPT,

    /** The request crashed targets and is refused for a time. */
    @SerialName("crashes-targets")
    CRASHES_TARGETS,

    /** The deadline passed before the request was sent to the target. */
    @SerialName("deadline")
    DEADLINE,

    /** The target refused the connection, so that no byte reached it. */
    @SerialName("target-unreachable")
    TARGET_UNREACHABLE,

    /** The caller cancelled before the request was sent to the target. */
    @SerialName("cancelled")
    CANCELLED,

    /** The chat went to another target, whose cache holds its prefix. */
    @SerialName("cached-elsewhere")
    CACHED_ELSEWHERE,

    /** The attempt was to run only with a cached prefix, and none is known here. */
    @SerialName("not-cached")
    NOT_CACHED,
}

/** Why an answer ended before it was complete. The request may have run. */
@Serializable
enum class BrokenReason {
    /** The connection to the target ended early. */
    @SerialName("target-lost")
    TARGET_LOST,

    /** The deadline passed while the target worked. */
    @SerialName("deadline")
    DEADLINE,

    /** The caller cancelled. */
    @SerialName("cancelled")
    CANCELLED,

    /** The sidecar's shutdown time ran out. */
    @SerialName("shutdown")
    SHUTDOWN,

    /** The relaying side received faster than its caller reads. */
    @SerialName("slow-reader")
    SLOW_READER,
}
