package org.hibiscusproxy.daemon.entry

import kotlin.time.Duration
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.StoredAnswer

/** Outcome of one attempt as seen by the entry. */
internal sealed class AttemptOutcome {
    /** The answer is complete; [buffered] holds it if none of it has been relayed. */
    data class Complete(val status: Int, val buffered: StoredAnswer?) : AttemptOutcome()

    /** The attempt did not run; [servedBy] is the target believed to have the chat cached. */
    data class NotRun(
        val reason: NotRunReason,
        val retryAfter: Duration,
        val servedBy: TargetName? = null,
    ) : AttemptOutcome()

    /** The attempt may have run, and its answer cannot be completed. */
    data class Broken(val reason: BrokenReason) : AttemptOutcome()

    /** The answer exceeds the buffer limit of the entry. */
    data object AnswerTooLong : AttemptOutcome()

    /** The caller closed its connection. */
    data object CallerDisconnected : AttemptOutcome()
}
