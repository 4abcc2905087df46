package org.hibiscusproxy.daemon.forwarding

/**
 * How far the forwarder has got with a request. A request moves to later phases only. Leaving a
 * phase drops what was scheduled for it, so that no late callback acts on the phases after it.
 */
internal sealed class ExchangePhase(private val order: Int) {
    /** The request has arrived and has not been started. */
    data object Received : ExchangePhase(order = 0)

    /** The request waits for routing and targets. */
    class Waiting(private val wait: RoutingWait) : ExchangePhase(order = 1) {
        override fun leave() = wait.end()
    }

    /** The version that began the stream is being looked up. */
    class LookingUp(private val stream: StreamBinding) : ExchangePhase(order = 2) {
        override fun leave() = stream.close()
    }

    /** Targets are tried, and the caller has received nothing. */
    data object Sending : ExchangePhase(order = 3)

    /** The caller has received the head of a target's response. */
    data object Answering : ExchangePhase(order = 4)

    /** The caller has received the final answer or has left. */
    data object Ended : ExchangePhase(order = 5)

    /** Drops what was scheduled for this phase. */
    protected open fun leave() = Unit

    /** Leaves this phase and returns [next], which must be a later one. */
    fun moveTo(next: ExchangePhase): ExchangePhase {
        check(next.order > order) { "request in phase $this cannot enter $next" }
        leave()
        return next
    }
}
