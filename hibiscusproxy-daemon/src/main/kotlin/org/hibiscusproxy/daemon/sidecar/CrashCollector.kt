package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Gathers the requests that were in flight when the target was lost. A crash breaks all of its
 * streams within moments of each other, so losses within a short time are one crash.
 *
 * The collector's monitor guards its set; [report] runs without it.
 */
internal class CrashCollector(
    private val scope: CoroutineScope,
    private val report: suspend (List<Fingerprint>) -> Unit,
) {
    private val lost = LinkedHashSet<Fingerprint>()

    /** A request was broken by the loss of the target. */
    fun add(fingerprint: Fingerprint) {
        val isFirst = synchronized(this) { lost.isEmpty().also { lost += fingerprint } }
        if (!isFirst) return
        scope.launch {
            delay(GATHERING)
            report(take())
        }
    }

    @Synchronized
    private fun take(): List<Fingerprint> = lost.toList().also { lost.clear() }

    private companion object {
        val GATHERING = 100.milliseconds
    }
}
