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
 * Handles the end of an attempt: answers the entry, reports crashes, and cancels requests at the
 * engine whose callers have left.
 */
internal class AttemptEndings(
    private val target: TargetName,
    private val scope: CoroutineScope,
    private val table: AttemptTable,
    private val calls: TargetCalls,
    private val cached: CacheIndex,
    private val link: ControllerLink,
    private val events: EventRecorder,
) {
    private val crashes = CrashCollector(scope, ::reportCrash)

    /** Whether the target did not answer when it was asked last. */
    @Volatile
    private var isTargetDown = false

    /** Takes the [end] of [attempt]'s call to the target. */
    fun ended(attempt: SidecarAttempt, end: CallEnd) {
        table.finish(attempt, end.result(attempt))
        when {
            end is CallEnd.Complete -> isTargetDown = false

            end is CallEnd.NotRun && end.reason == NotRunReason.TARGET_UNREACHABLE ->
                isTargetDown = true
        }
        when (end) {
            is CallEnd.Complete ->
                answer(attempt, ResponseEnd(attempt.attempt, end.chunks, presentLoad()))

            is CallEnd.NotRun -> {
                events.record(
                    FleetEvent.AttemptNotRun(attempt.attempt, target, end.reason),
                )
                answer(attempt, NotRun(attempt.attempt, end.reason, presentLoad()))
            }

            is CallEnd.Broken -> broken(attempt, end)

            CallEnd.EntryLost -> stopAtTarget(attempt)
        }
    }

    /** A target that cannot be reached takes nothing, whatever its limit is. */
    fun presentLoad(): LoadReport {
        val report = table.report()
        return if (isTargetDown) report.copy(limit = 0) else report
    }

    private fun CallEnd.result(attempt: SidecarAttempt): AttemptResult = when (this) {
        is CallEnd.Complete -> AttemptResult.COMPLETED

        is CallEnd.NotRun -> when (reason) {
            NotRunReason.TARGET_UNREACHABLE -> AttemptResult.UNREACHABLE
            else -> AttemptResult.CANCELLED
        }

        is CallEnd.Broken -> when (brokenReason(attempt)) {
            BrokenReason.TARGET_LOST -> AttemptResult.TARGET_LOST
            else -> AttemptResult.CANCELLED
        }

        CallEnd.EntryLost -> AttemptResult.CANCELLED
    }

    private fun broken(attempt: SidecarAttempt, end: CallEnd.Broken) {
        val reason = brokenReason(attempt)
        LOG.info("sidecar: attempt {} broken: {} {}", attempt.attempt, reason, end.cause.message)
        events.record(FleetEvent.RequestBroken(attempt.attempt, reason))
        if (reason == BrokenReason.TARGET_LOST) {
            crashes.add(attempt.dispatch.fingerprint)
        } else {
            stopAtTarget(attempt)
        }
        answer(attempt, ResponseBroken(attempt.attempt, reason, presentLoad()))
    }

    private fun brokenReason(attempt: SidecarAttempt): BrokenReason = attempt.stopReason
        ?: BrokenReason.DEADLINE.takeIf { attempt.remaining <= Duration.ZERO }
        ?: BrokenReason.TARGET_LOST

    /** Engines notice a closed connection late, so the request is cancelled by a call. */
    private fun stopAtTarget(attempt: SidecarAttempt) {
        if (attempt.dispatch.path != CHAT_PATH) return
        val request = attempt.dispatch.headers.find { it.name.equals(REQUEST_HEADER, true) }
        val path = "/v1/cancel/${request?.value ?: return}"
        calls.inBackground { calls.fetch("POST", path, CANCEL_TIME) }
    }

    /** Sends [message] to the entry that waits for [attempt]. */
    fun answer(attempt: SidecarAttempt, message: DataMessage) {
        scope.launch { attempt.connection.send(message) }
    }

    private suspend fun reportCrash(fingerprints: List<Fingerprint>) {
        LOG.warn("sidecar: target {} lost with {} requests", target, fingerprints.size)
        cached.recordRestart()
        events.record(FleetEvent.TargetCrashed(target, fingerprints.size))
        link.tell(CrashReport(target, fingerprints))
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val REQUEST_HEADER = "X-Request-Id"
        val CANCEL_TIME = 1.seconds
        val LOG: Logger = LoggerFactory.getLogger(AttemptEndings::class.java)
    }
}
