package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.slf4j.LoggerFactory

/**
 * Writes one structured line for each decision, at most [LINES_PER_SECOND] of them; the number of
 * lines left out follows with the next one. Used on the event loop only.
 */
internal class DecisionLog(
    private val registry: MeterRegistry,
    private val time: TimeSource.WithComparableMarks,
) {
    private var second: ComparableTimeMark = time.markNow()
    private var lines = 0
    private var leftOut = 0L

    /** A request of a caller has its final answer. */
    fun finished(exchange: ExchangeSummary) {
        registry.timer("forwarder.requests", "outcome", exchange.outcome)
            .record(exchange.taken.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        write {
            LOG.info(
                "forwarder: event=request id={} route={} target={} attempts={} status={} " +
                    "outcome={} reason={} milliseconds={} routing={}",
                exchange.identifier,
                exchange.route,
                exchange.target,
                exchange.attempts,
                exchange.status,
                exchange.outcome,
                exchange.reason,
                exchange.taken.inWholeMilliseconds,
                exchange.revision,
            )
        }
    }

    /** An attempt ended without an answer that is passed on. */
    fun attemptFailed(identifier: String?, target: String, reason: String, next: String) = write {
        LOG.info(
            "forwarder: event=attempt id={} target={} reason=\"{}\" next={}",
            identifier,
            target,
            reason,
            next,
        )
    }

    private fun write(line: () -> Unit) {
        if (second.elapsedNow() >= 1.seconds) {
            second = time.markNow()
            lines = 0
        }
        if (lines >= LINES_PER_SECOND) {
            leftOut += 1
            return
        }
        lines += 1
        if (leftOut > 0) {
            LOG.info("forwarder: event=lines-left-out count={}", leftOut)
            leftOut = 0
        }
        line()
    }

    private companion object {
        /** Bounds the log to about 40 KB/s while an incident shows in more lines than needed. */
        const val LINES_PER_SECOND = 200
        val LOG = LoggerFactory.getLogger(DecisionLog::class.java)
    }
}

/** What is logged about a request of a caller at its end. */
internal class ExchangeSummary(
    val identifier: String?,
    val route: String?,
    val target: String?,
    val attempts: Int,
    val status: Int,
    val outcome: String,
    val reason: String,
    val taken: Duration,
    val revision: Long,
)
