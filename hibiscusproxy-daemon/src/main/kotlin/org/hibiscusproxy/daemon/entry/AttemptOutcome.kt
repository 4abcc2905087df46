package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.StoredAnswer

/** How one attempt ended, as the entry knows it. */
internal sealed class AttemptOutcome {
    /** The answer is complete; [held] has it when nothing of it was relayed yet. */
    data class Complete(val status: Int, val held: StoredAnswer?) : AttemptOutcome()

    /** It did not run; [servedBy] is where the sidecar believes the chat cached. */
    data class NotRun(
        val reason: NotRunReason,
        val retryAfter: Duration,
        val servedBy: TargetName? = null,
    ) : AttemptOutcome()

    /** It may have run, and its answer will not become complete. */
    data class Broken(val reason: BrokenReason) : AttemptOutcome()

    /** The answer is longer than the entry may hold. */
    data object TooLong : AttemptOutcome()

    /** The caller has gone. */
    data object CallerGone : AttemptOutcome()
}
