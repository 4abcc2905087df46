package org.hibiscusproxy.forwarding

/** Memory that [owner] has to give up. */
sealed class Excess<T : Any> {
    abstract val owner: T

    /** A request that is not complete and has not been sent. */
    data class Body<T : Any>(override val owner: T) : Excess<T>()

    /** What the client sent behind a request in progress, which ends with its connection. */
    data class Pipelined<T : Any>(override val owner: T) : Excess<T>()

    /** An answer that the client does not read. */
    data class Answer<T : Any>(override val owner: T) : Excess<T>()

    /** A body that cannot be received now, since the memory is in use by requests in progress. */
    data class Refused<T : Any>(override val owner: T) : Excess<T>()
}
