package org.hibiscusproxy.daemon.forwarding

import io.netty.handler.codec.http.HttpMethod

/**
 * The requests that one connection to a target carried. A target may answer a request a second
 * time, late, so an answer on a connection that carried several belongs to the request that it
 * names. This only works if each request has an identifier of its own and is framed like the others.
 */
internal class CarriedRequests {
    /** A request whose identifier has the same hash as an earlier one uses another connection. */
    private val identifierHashes = HashSet<Int>()

    /** Number of requests so far. */
    var count = 0
        private set
    private var isLast = false

    /** Whether the connection may carry no further request. */
    val isExhausted: Boolean get() = isLast || count >= MAXIMUM_REQUESTS

    /** Whether the answer to a request could be told from those to all requests so far. */
    fun accepts(method: HttpMethod, identifier: String?): Boolean = when {
        count == 0 -> true
        isExhausted || needsOwnConnection(method, identifier) -> false
        else -> identifier.hashCode() !in identifierHashes
    }

    fun add(method: HttpMethod, identifier: String?) {
        count += 1
        identifierHashes += identifier.hashCode()
        isLast = needsOwnConnection(method, identifier)
    }

    companion object {
        /** Bounds the memory for identifiers. */
        private const val MAXIMUM_REQUESTS = 1_000

        /** Answers to these have no body whatever their headers state, unlike those to others. */
        private val METHODS_WITHOUT_BODY = setOf(HttpMethod.HEAD, HttpMethod.CONNECT)

        /** Whether a request can't share its connection with others. */
        fun needsOwnConnection(method: HttpMethod, identifier: String?): Boolean =
            identifier.isNullOrEmpty() ||
                method in METHODS_WITHOUT_BODY ||
                // Its answer, which repeats it, would look like two that run into each other.
                StatusLineSearch.holdsStatusLine(identifier)
    }
}
