package org.hibiscusproxy.daemon.forwarding

import org.hibiscusproxy.forwarding.RefusalReason

/** Reason for the final outcome of a request. [text] appears in response bodies and log lines. */
internal enum class FinalReason(val text: String) {
    /** A target's complete response was forwarded to the caller. */
    COMPLETE("complete"),

    /** The caller closed its connection before the response was complete. */
    CALLER_LEFT("caller-left"),

    /** The process has not yet received the routing configuration or the target list. */
    NO_ROUTING("no-routing"),

    /** No route matches the host and path. */
    NO_ROUTE("no-route"),

    /** The access key is missing or unknown. */
    UNKNOWN_KEY("unknown-key"),

    /** The service has no available target. */
    NO_TARGET("no-target"),

    /** No target is expected to respond in time. */
    OVERLOADED("overloaded"),

    /** Only cold targets are available, and their rate limit is reached. */
    COLD("cold"),

    /** All available targets get as many requests as they state to take. */
    RATE_LIMITED("rate-limited"),

    /** All available targets stated that they want no request for some time. */
    PAUSED("paused"),

    /** The request, or a part of its prompt, crashed several targets. */
    CRASHES_TARGETS("crashes-targets"),

    /** The version that began the stream has no target; the caller has to begin anew. */
    VERSION_GONE("version-gone"),

    /** Nobody knows which version began the stream; the caller has to begin anew. */
    ORIGIN_UNKNOWN("origin-unknown"),

    /** No controller has told which version began the stream. */
    ORIGIN_NOT_TOLD("origin-not-told"),

    /** The process shuts down before the request can end. */
    SHUTTING_DOWN("shutting-down"),

    /** The timeout of the route or of the caller has passed. */
    TIMEOUT("timeout"),

    /** Every target tried stated that it did not execute the request. */
    TARGET_REFUSED("target-refused"),

    /** No connection to a target could be established. */
    TARGET_UNREACHABLE("target-unreachable"),

    /** The connection to a target was lost, or the target's response was invalid. */
    TARGET_LOST("target-lost"),

    /** The target failed a repeatable request, and no further target may be tried. */
    TARGET_FAILED("target-failed"),

    /** The memory for callers is in use, and the body was not complete. */
    CALLER_MEMORY("caller-memory"),

    /** An exception was thrown while the request was handled. */
    INTERNAL_FAILURE("internal-failure"),
    ;

    companion object {
        /** Maps [refusal] to the reason that is reported to callers. */
        fun of(refusal: RefusalReason): FinalReason = when (refusal) {
            RefusalReason.NO_TARGET -> NO_TARGET
            RefusalReason.OVERLOADED -> OVERLOADED
            RefusalReason.COLD -> COLD
            RefusalReason.RATE_LIMITED -> RATE_LIMITED
            RefusalReason.PAUSED -> PAUSED
            RefusalReason.VERSION_GONE -> VERSION_GONE
        }
    }
}
