package org.hibiscusproxy.daemon.sidecar

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hibiscusproxy.admission.AdmissionController
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.admission.TargetAdmission
import org.hibiscusproxy.daemon.Role
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.daemon.transport.ControllerLink
import org.hibiscusproxy.daemon.transport.KtorPeerTransport
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.PeerListener
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.placement.CacheIndex
import org.hibiscusproxy.placement.CacheState
import org.hibiscusproxy.placement.PlacementPointers
import org.hibiscusproxy.placement.PrefixKey
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Cancel
import org.hibiscusproxy.protocol.ChatPlaced
import org.hibiscusproxy.protocol.ConfigurationCurrent
import org.hibiscusproxy.protocol.ConfigurationRequest
import org.hibiscusproxy.protocol.ConfigurationUpdate
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.CrashList
import org.hibiscusproxy.protocol.CrashReport
import org.hibiscusproxy.protocol.DataMessage
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.LeaseRenewNow
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRun
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.ResponseBroken
import org.hibiscusproxy.protocol.ResponseEnd
import org.hibiscusproxy.timeline.EventRecorder
import org.hibiscusproxy.timeline.FleetEvent
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Handles the outcomes of attempts: answers the entry, reports crashes of the target, and cancels
 * requests at the engine whose callers have disconnected.
 */
internal class AttemptCompletionHandler(
    private val target: TargetName,
    private val scope: CoroutineScope,
    private val table: AttemptTable,
    private val client: TargetClient,
    private val cacheIndex: CacheIndex,
    private val link: ControllerLink,
    private val events: EventRecorder,
) {
    private val crashes = CrashCollector(scope, ::reportCrash)

    /** Set when a call could not reach the target; cleared by the next complete answer. */
    @Volatile
    private var isTargetUnreachable = false

    /** Handles the [outcome] of the call that [attempt] made to the target. */
    fun handle(attempt: SidecarAttempt, outcome: CallOutcome) {
        table.finish(attempt, outcome.toAttemptResult(attempt))
        when {
            outcome is CallOutcome.Complete -> isTargetUnreachable = false

            outcome is CallOutcome.NotRun && outcome.reason == NotRunReason.TARGET_UNREACHABLE ->
                isTargetUnreachable = true
        }
        when (outcome) {
            is CallOutcome.Complete ->
                sendToEntry(attempt, ResponseEnd(attempt.attempt, outcome.chunks, currentLoad()))

            is CallOutcome.NotRun -> {
                events.record(
                    FleetEvent.AttemptNotRun(attempt.attempt, target, outcome.reason),
                )
                sendToEntry(attempt, NotRun(attempt.attempt, outcome.reason, currentLoad()))
            }

            is CallOutcome.Broken -> handleBroken(attempt, outcome)

            CallOutcome.EntryDisconnected -> cancelAtTarget(attempt)
        }
    }

    /** Current load of the target; its limit is 0 while the target is unreachable. */
    fun currentLoad(): LoadReport {
        val report = table.report()
        return if (isTargetUnreachable) report.copy(limit = 0) else report
    }

    private fun CallOutcome.toAttemptResult(attempt: SidecarAttempt): AttemptResult = when (this) {
        is CallOutcome.Complete -> AttemptResult.COMPLETED

        is CallOutcome.NotRun -> when (reason) {
            NotRunReason.TARGET_UNREACHABLE -> AttemptResult.UNREACHABLE
            else -> AttemptResult.CANCELLED
        }

        is CallOutcome.Broken -> when (brokenReason(attempt)) {
            BrokenReason.TARGET_LOST -> AttemptResult.TARGET_LOST
            else -> AttemptResult.CANCELLED
        }

        CallOutcome.EntryDisconnected -> AttemptResult.CANCELLED
    }

    private fun handleBroken(attempt: SidecarAttempt, outcome: CallOutcome.Broken) {
        val reason = brokenReason(attempt)
        LOG.info(
            "sidecar: attempt {} broken: {} ({})",
            attempt.attempt,
            reason,
            outcome.cause.message,
        )
        events.record(FleetEvent.RequestBroken(attempt.attempt, reason))
        if (reason == BrokenReason.TARGET_LOST) {
            crashes.add(attempt.dispatch.fingerprint)
        } else {
            cancelAtTarget(attempt)
        }
        sendToEntry(attempt, ResponseBroken(attempt.attempt, reason, currentLoad()))
    }

    private fun brokenReason(attempt: SidecarAttempt): BrokenReason = attempt.stopReason
        ?: BrokenReason.DEADLINE.takeIf { attempt.remaining <= Duration.ZERO }
        ?: BrokenReason.TARGET_LOST

    /** Cancels by an explicit call, because engines detect a closed connection only late. */
    private fun cancelAtTarget(attempt: SidecarAttempt) {
        if (attempt.dispatch.path != CHAT_PATH) return
        val request = attempt.dispatch.headers.find { it.name.equals(REQUEST_HEADER, true) }
        val path = "/v1/cancel/${request?.value ?: return}"
        client.runInBackground { client.fetch("POST", path, CANCEL_TIMEOUT) }
    }

    /** Sends [message] in the background to the entry that dispatched [attempt]. */
    fun sendToEntry(attempt: SidecarAttempt, message: DataMessage) {
        scope.launch { attempt.connection.send(message) }
    }

    private suspend fun reportCrash(fingerprints: List<Fingerprint>) {
        LOG.warn("sidecar: target {} crashed with {} requests in flight", target, fingerprints.size)
        cacheIndex.recordRestart()
        events.record(FleetEvent.TargetCrashed(target, fingerprints.size))
        link.send(CrashReport(target, fingerprints))
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val REQUEST_HEADER = "X-Request-Id"
        val CANCEL_TIMEOUT = 1.seconds

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.sidecar.AttemptEndings"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}
