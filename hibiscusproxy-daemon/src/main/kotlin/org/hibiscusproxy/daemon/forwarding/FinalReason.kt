package org.hibiscusproxy.daemon.forwarding

import org.hibiscusproxy.forwarding.RefusalReason

/** Why a request got the final answer that it got. [text] is part of answers and of log lines. */
internal enum class FinalReason(val text: String) {
    /** The whole answer of a target was passed on. */
    COMPLETE("complete"),

    /** The caller closed its connection first. */
    CALLER_LEFT("caller-left"),

    /** The process has not received routing or targets yet. */
    NO_ROUTING("no-routing"),

    /** No route matches host and path. */
    NO_ROUTE("no-route"),

    /** The access key is missing or unknown. */
    UNKNOWN_KEY("unknown-key"),

    /** The service has no target that may be used. */
    NO_TARGET("no-target"),

    /** The answer would come too late. */
    OVERLOADED("overloaded"),

    /** Only cold targets are left, and their rate limit is reached. */
    COLD("cold"),

    /** The timeout of the route or of the caller has passed. */
    TIMEOUT("timeout"),

    /** All tried targets stated that they did not run the request. */
    TARGET_REFUSED("target-refused"),

    /** No connection to a target was established. */
    TARGET_UNREACHABLE("target-unreachable"),

    /** The connection to a target ended, or what came was no valid answer. */
    TARGET_LOST("target-lost"),

    /** The target failed a request that may be repeated, and no other one may be tried. */
    TARGET_FAILED("target-failed"),
    ;

    companion object {
        /** Maps [refusal] to the reason that callers see. */
        fun of(refusal: RefusalReason): FinalReason = when (refusal) {
            RefusalReason.NO_TARGET -> NO_TARGET
            RefusalReason.OVERLOADED -> OVERLOADED
            RefusalReason.COLD -> COLD
        }
    }
}
