package org.hibiscusproxy.daemon.forwarding

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.forwarding.CrashObserver
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.TargetSelector
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Fingerprint
import org.slf4j.LoggerFactory

/**
 * Tells targets that crashed from broken connections: a target that refuses a new connection just
 * after it closed one has ended. Targets that were about to leave are no crashes. Used on the event
 * loop only.
 */
internal class CrashDetector(
    private val loop: EventLoop,
    private val pool: TargetPool,
    private val selector: TargetSelector,
    private val observer: CrashObserver,
    private val onCrash: () -> Unit,
) {
    private val pending = HashMap<TargetName, LinkedHashSet<Set<Fingerprint>>>()

    /** Checks [target], which closed a connection just after it began to answer [suspect]. */
    fun onConnectionLost(target: DiscoveredTarget, suspect: Set<Fingerprint>) {
        if (selector.isLeaving(target.name)) return
        val known = pending[target.name]
        if (known != null) {
            known += suspect
            return
        }
        pending[target.name] = linkedSetOf(suspect)
        loop.schedule({ check(target) }, CHECK_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun check(target: DiscoveredTarget) = pool.connect(target) { result ->
        val suspects = pending.remove(target.name).orEmpty()
        when (result) {
            is ConnectResult.Connected -> result.connection.cancel()

            is ConnectResult.Failed -> if (result.isRefused) {
                LOG.info("forwarder: event=crash target={} suspects={}", target.name, suspects)
                observer.recordCrash(target.name, suspects)
                onCrash()
            }
        }
    }

    private companion object {
        /** All connections to a target that crashed are closed within this time. */
        val CHECK_DELAY = 50.milliseconds
        val LOG = LoggerFactory.getLogger(CrashDetector::class.java)
    }
}
