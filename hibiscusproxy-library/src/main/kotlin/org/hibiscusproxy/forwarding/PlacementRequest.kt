package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName

/** A part of a prompt. Prompts with the same leading parts share an engine's cached prefix. */
@Serializable
data class PromptPart(@SerialName("i") val identifier: String, @SerialName("n") val tokens: Long)

/**
 * A prompt as described by the caller.
 *
 * @property parts leading parts in order; the last one is specific to the request or its session
 * @property promptTokens tokens to prefill when nothing is cached
 * @property outputTokens maximum number of tokens to generate
 */
data class Prompt(
    val model: String?,
    val parts: List<PromptPart>,
    val promptTokens: Long,
    val outputTokens: Long,
) {
    /** The parts that other prompts may share. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}

/**
 * A request to be placed on a target.
 *
 * @property objective latency objective, counted from now
 * @property remaining time until the caller or the route times out
 * @property excluded targets that were already tried
 * @property versions software versions whose targets may get the request
 * @property isRetry whether an earlier attempt of the request was sent to a target
 * @property rank rank of the request; 0 is the most urgent
 * @property team team of the caller; null for callers without an access key
 */
data class PlacementRequest(
    val service: ServiceName,
    val prompt: Prompt?,
    val objective: Duration,
    val remaining: Duration,
    val excluded: Set<TargetName> = emptySet(),
    val versions: VersionChoice = VersionChoice.Any,
    val rank: Int = 0,
    val team: TeamName? = null,
    val isRetry: Boolean = excluded.isNotEmpty(),
)

/** Result of placing a request. */
sealed class PlacementChoice {
    /**
     * The request goes to [target].
     *
     * @property cachedAt engine from which the target should copy the parts it has not cached
     */
    data class Chosen(val target: DiscoveredTarget, val cachedAt: DiscoveredTarget? = null) :
        PlacementChoice()

    /** No target can serve the request now; capacity is likely to be free after [retryAfter]. */
    data class Refused(val reason: RefusalReason, val retryAfter: Duration) : PlacementChoice()
}

/** Reason for refusing a request. */
enum class RefusalReason {
    /** The service has no usable target. */
    NO_TARGET,

    /** Every target is too busy to answer in time. */
    OVERLOADED,

    /** Every usable target is cold and at its rate limit. */
    COLD,

    /** Every usable target gets as many requests as it states to take. */
    RATE_LIMITED,

    /** Every usable target stated that it wants no request for some time. */
    PAUSED,

    /** No target of the version that began the stream takes requests. */
    VERSION_GONE,
}
