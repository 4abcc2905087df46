package org.hibiscusproxy.forwarding

import kotlin.time.Duration
import org.hibiscusproxy.model.TargetName

/** Leaves room for requests that other forwarders have sent since their last report. */
private const val FREE_SLOT_SHARE = 0.7

/** Prompts have parts of their own that are always read. */
private const val MOSTLY_CACHED_TOKENS = 1_000L

/** Records that [target] reported to be cold for [remaining]. */
fun TargetSelector.markCold(target: TargetName, remaining: Duration) {
    states[target]?.markCold(remaining, time.markNow())
}

/** Records that [target] stated that it leaves. Returns whether that is news. */
fun TargetSelector.recordLeaving(target: TargetName): Boolean =
    states[target]?.notice?.recordLeaving() == true

/** Records that [target] stated that it wants no request for [duration]. */
fun TargetSelector.recordPause(target: TargetName, duration: Duration) {
    states[target]?.notice?.recordPause(duration, time.markNow())
}

/** Records that no connection to [target] could be established. */
fun TargetSelector.recordUnreachable(target: TargetName) {
    states[target]?.health?.record(AttemptResult.UNREACHABLE, time.markNow())
}

/** Whether [target] has so few requests in progress that one more is not queued. */
fun TargetSelector.hasFreeSlots(target: TargetName): Boolean =
    states[target]?.let { it.running < it.listed.slots * FREE_SLOT_SHARE } == true

/** Expected time for prefilling the tokens of [attempt] that were not cached. */
fun TargetSelector.expectedPrefill(attempt: PlacedAttempt): Duration =
    attempt.state?.let { latency(it.listed.service).prefillTime(attempt.uncachedTokens) }
        ?: Duration.ZERO

/** Whether the target of [attempt] had most of the prompt cached. */
fun TargetSelector.isMostlyCached(attempt: PlacedAttempt): Boolean =
    attempt.uncachedTokens <= MOSTLY_CACHED_TOKENS

/** Whether the target of [attempt] is cold, or was when the attempt began. */
fun TargetSelector.isCold(attempt: PlacedAttempt): Boolean =
    attempt.wasCold || attempt.state?.isCold(time.markNow()) == true
