package org.hibiscusproxy.standins.load

/** How a request ended, as its caller saw it. */
sealed class RequestOutcome {
    /** The answer was complete and correct. */
    data class Complete(val promptTokens: Int, val cachedTokens: Int) : RequestOutcome()

    /** Refused with the promise that it did not run. */
    data class NotRun(val type: String, val requestId: String?) : RequestOutcome()

    /** Refused without that promise. */
    data class Unknown(val type: String) : RequestOutcome()

    /** The answer began and ended early. */
    data class Broken(val detail: String) : RequestOutcome()

    /** The answer was not the one to this request. */
    data class Wrong(val detail: String) : RequestOutcome()

    /** No response at all, or one that follows no convention. */
    data class Lost(val detail: String) : RequestOutcome()
}
