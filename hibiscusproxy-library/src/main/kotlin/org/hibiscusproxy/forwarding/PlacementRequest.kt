package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName

/** One part of a prompt. Prompts with the same leading parts share what an engine cached. */
@Serializable
data class PromptPart(@SerialName("i") val identifier: String, @SerialName("n") val tokens: Long)

/**
 * A prompt as the caller describes it.
 *
 * @property parts leading parts in order; the last one belongs to the request or its session
 * @property promptTokens tokens to read if nothing is cached
 * @property outputTokens upper bound of the tokens to generate
 */
data class Prompt(
    val model: String?,
    val parts: List<PromptPart>,
    val promptTokens: Long,
    val outputTokens: Long,
) {
    /** The parts that other prompts may have as well. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}

/**
 * A request that needs a target.
 *
 * @property objective time within which the answer is on time, counted from now
 * @property remaining time until the caller or the route times out
 * @property excluded targets that have been tried
 */
data class PlacementRequest(
    val service: ServiceName,
    val prompt: Prompt?,
    val objective: Duration,
    val remaining: Duration,
    val excluded: Set<TargetName> = emptySet(),
)

/** The target of a request, or the reason why it is refused. */
sealed class PlacementChoice {
    /**
     * Send it to [target].
     *
     * @property cachedAt engine from which the target should copy the parts that it lacks
     */
    data class Chosen(val target: DiscoveredTarget, val cachedAt: DiscoveredTarget? = null) :
        PlacementChoice()

    /** No target can serve it in time; capacity is likely to be free after [retryAfter]. */
    data class Refused(val reason: RefusalReason, val retryAfter: Duration) : PlacementChoice()
}

/** Why no target was chosen. */
enum class RefusalReason {
    /** The service has no target that may be used. */
    NO_TARGET,

    /** All targets are so busy that the answer would come too late. */
    OVERLOADED,

    /** All usable targets are cold and at their rate limit. */
    COLD,
}
