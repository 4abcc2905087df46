package org.hibiscusproxy.daemon.forwarding

/**
 * An answer that is not shown to belong to the pending request of its connection.
 *
 * @property identifiers identifiers of the requests that the answer names
 * @property pendingIdentifier identifier of the pending request; null if there is none
 * @property status null if no head was decoded
 * @property framing null if no head was decoded
 * @property earlierRequests number of requests that the connection carried before the pending one
 */
internal class UnmatchedAnswer(
    val reason: UnmatchedAnswerReason,
    val identifiers: Set<String>,
    val pendingIdentifier: String?,
    val status: Int?,
    val framing: AnswerFraming?,
    val earlierRequests: Int,
)

/** Why an answer does not match. [text] appears in log lines and metrics. */
internal enum class UnmatchedAnswerReason(val text: String) {
    /** No request was pending. */
    NO_REQUEST("no-request"),

    /** The answer names another request than the pending one. */
    OTHER_REQUEST("other-request"),

    /** The answer names the pending request and others. */
    SEVERAL_IDENTIFIERS("several-identifiers"),

    /** The answer holds another status line: it was cut and runs into the one that follows. */
    SEVERAL_HEADS("several-heads"),

    /** The answer names no request, and the connection carried others before the pending one. */
    NO_IDENTIFIER("no-identifier"),
}
