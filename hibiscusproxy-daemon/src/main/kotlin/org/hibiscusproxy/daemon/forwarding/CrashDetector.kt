package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.hibiscusproxy.forwarding.CrashObserver
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.slf4j.LoggerFactory

/**
 * Tells targets that crashed from broken connections. A target has ended if it refuses a new
 * connection just after it closed one, or if none of the connections to it outlived that moment and
 * it closed several of them or closes a new one, too: its port may be held by another process or be
 * closed later than its connections. Targets that were about to leave are no crashes. Used on the
 * event loop only.
 */
internal class CrashDetector(
    private val loop: EventLoop,
    private val pool: TargetPool,
    private val selector: TargetSelector,
    private val observer: CrashObserver,
    private val time: TimeSource.WithComparableMarks,
    private val onCrash: () -> Unit,
) {
    private val pending = HashMap<TargetName, SuspectedCrash>()

    /** Checks [target], which closed a connection just after it began to answer [suspect]. */
    fun onConnectionLost(target: DiscoveredTarget, suspect: Set<Fingerprint>) {
        if (selector.isLeaving(target.name)) return
        val known = pending[target.name]
        if (known != null) {
            known.suspects += suspect
            return
        }
        val crash = SuspectedCrash(target, time.markNow(), linkedSetOf(suspect))
        pending[target.name] = crash
        schedule(CHECK_DELAY) { check(crash) }
    }

    private fun check(crash: SuspectedCrash) {
        val closed = pool.lost(crash.target.name, crash.at - CHECK_DELAY)
        if (crash.hasOtherConnections || closed <= 1) return testConnection(crash)
        record(crash, "it closed all $closed connections")
    }

    private fun testConnection(crash: SuspectedCrash) = pool.connect(crash.target) { result ->
        when (result) {
            is ConnectResult.Connected -> {
                if (crash.hasOtherConnections) {
                    result.connection.cancel()
                    pending -= crash.target.name
                } else {
                    watch(crash, result.connection)
                }
            }

            is ConnectResult.Failed -> {
                if (result.isRefused || !crash.hasOtherConnections) {
                    record(crash, "${result.cause.message}")
                } else {
                    pending -= crash.target.name
                }
            }
        }
    }

    /** Waits for a moment whether the target closes [connection], which carries no request. */
    private fun watch(crash: SuspectedCrash, connection: TargetConnection) {
        schedule(WATCH_TIME) { connection.cancel() }
        connection.channel.closeFuture().addListener {
            if (connection.isLost) {
                record(crash, "it closed a new connection")
            } else {
                pending -= crash.target.name
            }
        }
    }

    private fun record(crash: SuspectedCrash, cause: String) {
        val name = crash.target.name
        pending -= name
        LOG.info(
            "forwarder: event=crash target={} cause=\"{}\" suspects={}",
            name,
            cause,
            crash.suspects,
        )
        observer.recordCrash(name, crash.suspects)
        onCrash()
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private val SuspectedCrash.hasOtherConnections: Boolean
        get() = pool.hasOpen(target.name, at)

    /** The loss of a connection at [at] that may be due to a crash of [target]. */
    private class SuspectedCrash(
        val target: DiscoveredTarget,
        val at: ComparableTimeMark,
        val suspects: LinkedHashSet<Set<Fingerprint>>,
    )

    private companion object {
        /** All connections to a target that crashed are closed within this time. */
        val CHECK_DELAY = 50.milliseconds

        /** Targets keep an idle connection for longer than this. */
        val WATCH_TIME = 300.milliseconds
        val LOG = LoggerFactory.getLogger(CrashDetector::class.java)
    }
}
