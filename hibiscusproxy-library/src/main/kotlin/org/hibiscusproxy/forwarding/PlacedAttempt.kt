package org.hibiscusproxy.forwarding

import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.model.TargetName

/**
 * An attempt that [TargetSelector.begin] recorded.
 *
 * @property pendingTokens prompt tokens that the engine had to read at its begin, its own included
 */
class PlacedAttempt internal constructor(
    val target: TargetName,
    internal val state: TargetState?,
    internal val uncachedTokens: Long,
    internal val startedAt: ComparableTimeMark,
    internal val expected: ExpectedTime?,
    internal val prompt: Prompt?,
    internal val addedParts: List<PromptPart>,
    internal val wasCold: Boolean,
    internal val pendingTokens: Long = 0,
) {
    internal var isAnswered = false
    internal var isEnded = false
}
