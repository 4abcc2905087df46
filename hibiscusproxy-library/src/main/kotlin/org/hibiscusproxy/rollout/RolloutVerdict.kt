package org.hibiscusproxy.rollout

/** What the answers of a version under trial tell about it. */
sealed class RolloutVerdict {
    /** The version answers about as well as the others. */
    data object Good : RolloutVerdict()

    /** The answers are too few to tell. */
    data object Undecided : RolloutVerdict()

    /** The version answers clearly worse than the others because of [reason]. */
    data class Bad(val reason: String) : RolloutVerdict()
}
