package org.hibiscusproxy.standins.load

/** Outcome of a request as observed by the client. */
sealed class RequestOutcome {
    /** The answer was complete and correct. */
    data class Complete(val promptTokens: Int, val cachedTokens: Int) : RequestOutcome()

    /** Rejected with the guarantee that it was not run. */
    data class NotRun(val type: String, val requestId: String?) : RequestOutcome()

    /** Failed without that guarantee; the request may have run. */
    data class Unknown(val type: String) : RequestOutcome()

    /** The answer was incomplete. */
    data class Broken(val detail: String) : RequestOutcome()

    /** The answer did not match the request. */
    data class Wrong(val detail: String) : RequestOutcome()

    /** No response was received, or one without a valid error body and outcome. */
    data class Lost(val detail: String) : RequestOutcome()
}
