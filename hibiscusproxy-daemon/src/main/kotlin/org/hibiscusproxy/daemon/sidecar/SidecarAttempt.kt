package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import okhttp3.Call
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.BrokenReason
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.NotRunReason

/**
 * A queued or running attempt at the sidecar, and the connection that its answer is sent on. The
 * body is kept as long as the attempt. The attempt's monitor guards the call and is acquired last.
 */
internal class SidecarAttempt(val dispatch: Dispatch, val connection: PeerConnection) {
    val attempt: Attempt get() = dispatch.attempt
    private val deadline =
        TimeSource.Monotonic.markNow() + dispatch.remainingMilliseconds.milliseconds

    /** Time until the deadline; negative after it has passed. */
    val remaining: Duration get() = -deadline.elapsedNow()

    /** Set right before the first byte may be sent to the target. */
    @Volatile
    var mayHaveRun = false

    /** Set if the connection was lost before the target could read the whole request. */
    @Volatile
    var isRequestIncomplete = false

    /** Set if the final check before the first byte refused the attempt. */
    @Volatile
    var refusal: NotRunReason? = null

    /** Set if the sidecar stopped the attempt. */
    @Volatile
    var stopReason: BrokenReason? = null
        private set

    private var call: Call? = null

    /** Whether the call was cancelled or the deadline has passed. */
    val isCancelledOrExpired: Boolean
        @Synchronized get() = call?.isCanceled() == true || remaining <= Duration.ZERO

    /** Sets the call of the attempt. Returns false if the attempt was already stopped. */
    @Synchronized
    fun attach(call: Call): Boolean {
        this.call = call
        return stopReason == null
    }

    /** Cancels the call, now or as soon as it is attached. The first reason is kept. */
    @Synchronized
    fun stop(reason: BrokenReason) {
        if (stopReason == null) stopReason = reason
        call?.cancel()
    }
}
