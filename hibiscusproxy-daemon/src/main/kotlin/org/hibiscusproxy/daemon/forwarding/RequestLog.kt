package org.hibiscusproxy.daemon.forwarding

import io.micrometer.core.instrument.MeterRegistry
import java.util.concurrent.TimeUnit
import kotlin.math.roundToInt
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.admission.ShortageChange
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PromptPart
import org.hibiscusproxy.forwarding.RefusalReason
import org.hibiscusproxy.forwarding.StatedRate
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.rollout.Rollout
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Logs one structured line for each completed request and each failed attempt, at most
 * [MAXIMUM_LINES_PER_SECOND]. The number of dropped lines is logged before the next line. Used on
 * the event loop only.
 */
internal class RequestLog(
    private val registry: MeterRegistry,
    private val timeSource: TimeSource.WithComparableMarks,
) {
    private var secondStart: ComparableTimeMark = timeSource.markNow()
    private var linesThisSecond = 0
    private var droppedLines = 0L

    /** Records a request whose final response was sent. */
    fun requestCompleted(summary: ExchangeSummary) {
        registry.timer("forwarder.requests", "outcome", summary.outcome)
            .record(summary.duration.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        write {
            LOG.info(
                "forwarder: event=request id={} route={} target={} software={} attempts={} " +
                    "status={} outcome={} reason={} framing={} milliseconds={} routing={}",
                summary.identifier,
                summary.route,
                summary.target?.name,
                summary.target?.version,
                summary.attempts,
                summary.status,
                summary.outcome,
                summary.reason,
                summary.framing?.text,
                summary.duration.inWholeMilliseconds,
                summary.revision,
            )
        }
    }

    /** Records a [step] of the request [identifier] that came too late and was ignored. */
    fun lateStep(identifier: String?, step: String) {
        registry.counter("forwarder.late.steps", "step", step).increment()
        write { LOG.info("forwarder: event=late-step id={} step={}", identifier, step) }
    }

    /** Logs a list of targets that [controller] read [age] ago, and what was done with it. */
    fun targetList(
        controller: ProcessName,
        result: String,
        age: Duration,
        targets: Int,
        leaving: Int,
    ) = write {
        LOG.info(
            "forwarder: event=target-list controller={} result={} milliseconds={} targets={} " +
                "leaving={}",
            controller,
            result,
            age.inWholeMilliseconds,
            targets,
            leaving,
        )
    }

    /** Logs an attempt whose response is not forwarded. */
    fun attemptFailed(summary: AttemptSummary) = write {
        LOG.info(
            "forwarder: event=attempt id={} target={} software={} reason=\"{}\" next={} phase={} " +
                "milliseconds={} framing={} parts={}",
            summary.identifier,
            summary.target.name,
            summary.target.version,
            summary.reason,
            summary.next,
            summary.progress.name,
            summary.progress.elapsed.inWholeMilliseconds,
            summary.framing?.text,
            summary.sharedParts.joinToString(",") { it.identifier },
        )
    }

    /** Logs the [origin] of the stream [resumed] that a caller takes up, and who knew it. */
    fun streamTakenUp(identifier: String?, resumed: String?, origin: StreamOrigin, source: String) =
        write {
            val version = (origin as? StreamOrigin.Known)?.version
            LOG.info(
                "forwarder: event=stream-taken-up id={} resumes={} origin={} service={} " +
                    "software={} source={}",
                identifier,
                resumed,
                origin.text,
                version?.service,
                version?.version,
                source,
            )
        }

    /** Records an [answer] of [target] that is not shown to belong to the pending request. */
    fun unmatchedAnswer(target: TargetName, answer: UnmatchedAnswer) {
        registry.counter("forwarder.unmatched.answers", "reason", answer.reason.text).increment()
        write {
            LOG.info(
                "forwarder: event=unmatched-answer target={} reason={} id={} pending={} " +
                    "status={} framing={} earlier={}",
                target,
                answer.reason.text,
                answer.identifiers.joinToString(","),
                answer.pendingIdentifier,
                answer.status,
                answer.framing?.text,
                answer.earlierRequests,
            )
        }
    }

    /** Counts a slow request that got a second attempt, or did not because of a limit. */
    fun secondAttempt(isAllowed: Boolean) = countSecondAttempt(if (isAllowed) "sent" else "denied")

    /** Counts a second attempt by whether it [isAnswered] before the first one. */
    fun secondAttemptEnded(isAnswered: Boolean) =
        countSecondAttempt(if (isAnswered) "won" else "lost")

    private fun countSecondAttempt(result: String) =
        registry.counter("forwarder.second.attempts", "result", result).increment()

    /** Logs that [target] states another [rate] than before. */
    fun statedRateChanged(target: String, rate: StatedRate) = write {
        LOG.info("forwarder: event=stated-rate target={} rate={}", target, rate)
    }

    /** Logs that [target] stated for the first time that it leaves. */
    fun statedLeaving(target: String) = write {
        LOG.info("forwarder: event=stated-leaving target={}", target)
    }

    /** Logs that [target] stated a time to come back that cannot be read. */
    fun unreadablePause(target: String) = write {
        LOG.info("forwarder: event=unreadable-retry-after target={}", target)
    }

    /** Records that [target] stated a load that cannot be read and is ignored. */
    fun malformedLoad(target: TargetName) {
        registry.counter("forwarder.malformed.loads").increment()
        write { LOG.info("forwarder: event=malformed-load target={}", target) }
    }

    /** Logs how many retries at [service] were allowed and denied in the last [duration]. */
    fun retriesDecided(service: ServiceName, counts: RetryCounts, duration: Duration) = write {
        LOG.info(
            "forwarder: event=retries service={} allowed={} denied={} forwarders={} " +
                "milliseconds={}",
            service,
            counts.allowed,
            counts.denied,
            counts.forwarders,
            duration.inWholeMilliseconds,
        )
    }

    /** Logs that [rollout] is new or has another phase. */
    fun rolloutChanged(rollout: Rollout) = write {
        LOG.info(
            "forwarder: event=rollout service={} number={} version={} phase={} reason=\"{}\"",
            rollout.service,
            rollout.number,
            rollout.version,
            rollout.phase,
            rollout.reason,
        )
    }

    /** Logs how many requests the version of [rollout] got in the last [duration]. */
    fun rolloutRequests(rollout: Rollout, counts: RolloutCounts, duration: Duration) = write {
        LOG.info(
            "forwarder: event=rollout-requests service={} number={} phase={} sent={} " +
                "held={} milliseconds={}",
            rollout.service,
            rollout.number,
            rollout.phase,
            counts.sent,
            counts.heldBack,
            duration.inWholeMilliseconds,
        )
    }

    /** Logs that no controller is heard during a rollout, or that one is heard again. */
    fun rolloutContactChanged(isLost: Boolean) = write {
        LOG.info("forwarder: event=rollout-contact lost={}", isLost)
    }

    /** Counts a request with [rank] for which no target was chosen because of [reason]. */
    fun placementRefused(rank: Int, reason: RefusalReason) {
        registry.counter(
            "forwarder.placement.refusals",
            "rank",
            rank.toString(),
            "reason",
            reason.name.lowercase(),
        ).increment()
    }

    /** Logs that a service became short of room, or has room again. */
    fun shortageChanged(change: ShortageChange) = write {
        val demand = change.demandPerSecond.roundToInt()
        val capacity = change.capacityPerSecond.roundToInt()
        when (change) {
            is ShortageChange.Began -> LOG.info(
                "forwarder: event=shortage-began service={} demand={} capacity={}",
                change.service,
                demand,
                capacity,
            )

            is ShortageChange.Ended -> LOG.info(
                "forwarder: event=shortage-ended service={} demand={} capacity={} refused={} " +
                    "milliseconds={}",
                change.service,
                demand,
                capacity,
                change.refused,
                change.duration.inWholeMilliseconds,
            )
        }
    }

    /** Records that callers held [used] bytes and what [kind] was given up for others. */
    fun memoryShed(kind: String, bytes: Long, used: Long) {
        registry.counter("forwarder.memory.shed", "kind", kind).increment()
        write {
            LOG.info("forwarder: event=memory-shed kind={} bytes={} used={}", kind, bytes, used)
        }
    }

    /** Records that one of [open] connections, or a new one, was closed at the limit. */
    fun connectionClosed(open: Int, isNew: Boolean) {
        val kind = if (isNew) "new" else "idle"
        registry.counter("forwarder.connections.closed", "kind", kind).increment()
        write { LOG.info("forwarder: event=connection-limit open={} closed={}", open, kind) }
    }

    private fun write(line: () -> Unit) {
        if (secondStart.elapsedNow() >= 1.seconds) {
            secondStart = timeSource.markNow()
            linesThisSecond = 0
        }
        if (linesThisSecond >= MAXIMUM_LINES_PER_SECOND) {
            droppedLines += 1
            return
        }
        linesThisSecond += 1
        if (droppedLines > 0) {
            LOG.info("forwarder: event=lines-left-out count={}", droppedLines)
            droppedLines = 0
        }
        line()
    }

    private companion object {
        /** Limits the log to about 40 KB/s, which is enough to diagnose an incident. */
        const val MAXIMUM_LINES_PER_SECOND = 200

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.forwarding.DecisionLog"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}

/**
 * Log data of a failed attempt.
 *
 * @property next how the request continues
 * @property framing what marks the end of the target's answer; null if none began
 * @property sharedParts parts of the request's prompt that other requests may share
 */
internal class AttemptSummary(
    val identifier: String?,
    val target: DiscoveredTarget,
    val reason: String,
    val next: String,
    val progress: AttemptProgress,
    val framing: AnswerFraming?,
    val sharedParts: List<PromptPart>,
)

/**
 * Log data of a completed request.
 *
 * @property framing what marked the end of the forwarded answer; null without a complete one
 */
internal class ExchangeSummary(
    val identifier: String?,
    val route: String?,
    val target: DiscoveredTarget?,
    val attempts: Int,
    val status: Int,
    val outcome: String,
    val reason: String,
    val framing: AnswerFraming?,
    val duration: Duration,
    val revision: Long,
)
