package org.hibiscusproxy.daemon.entry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counters of an entry. */
internal class EntryMeters(private val registry: MeterRegistry) {
    /** Attempts dispatched to sidecars. */
    val attempts: Counter = counter("hibiscus.entry.attempts", "Attempts dispatched")

    /** Attempts after the first of a request. */
    val retries: Counter = counter("hibiscus.entry.retries", "Attempts after the first")

    /** Messages for attempts that have ended or are unknown. */
    val dropped: Counter = counter("hibiscus.entry.dropped", "Late or crossed answers dropped")

    /** Counts a finished request by [outcome]. */
    fun requestEnded(outcome: String) {
        Counter.builder("hibiscus.entry.requests")
            .description("Requests ended")
            .tag("outcome", outcome)
            .register(registry)
            .increment()
    }

    private fun counter(name: String, description: String): Counter =
        Counter.builder(name).description(description).register(registry)
}
