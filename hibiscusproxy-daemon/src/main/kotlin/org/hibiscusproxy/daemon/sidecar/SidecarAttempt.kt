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
 * One attempt that waits or runs at the sidecar, and the connection its answer goes to. The body
 * lives as long as the attempt. Its own monitor guards the call; it is taken last.
 */
internal class SidecarAttempt(val dispatch: Dispatch, val connection: PeerConnection) {
    val attempt: Attempt get() = dispatch.attempt
    private val deadline =
        TimeSource.Monotonic.markNow() + dispatch.remainingMilliseconds.milliseconds

    /** Time to the deadline; negative when it has passed. */
    val remaining: Duration get() = -deadline.elapsedNow()

    /** Set right before the first byte may go to the target. */
    @Volatile
    var mayHaveRun = false

    /** Set when the last check before the first byte refused the attempt. */
    @Volatile
    var refusal: NotRunReason? = null

    /** Set when the sidecar itself ends the attempt. */
    @Volatile
    var stopReason: BrokenReason? = null
        private set

    private var call: Call? = null

    /** Whether its call was cancelled, by the sidecar or by its deadline. */
    val isOver: Boolean
        @Synchronized get() = call?.isCanceled() == true || remaining <= Duration.ZERO

    /** Returns false when the attempt was stopped before its call existed. */
    @Synchronized
    fun attach(call: Call): Boolean {
        this.call = call
        return stopReason == null
    }

    /** Ends the attempt's call, now or as soon as it starts. The first reason counts. */
    @Synchronized
    fun stop(reason: BrokenReason) {
        if (stopReason == null) stopReason = reason
        call?.cancel()
    }
}
