package org.hibiscusproxy.daemon.sidecar

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.protocol.Fingerprint

/**
 * Collects the requests that were in flight when the target was lost. A crash breaks all streams
 * of the target almost at once, so losses within [COLLECTION_WINDOW] are reported as one crash.
 *
 * The collector's monitor guards its set and is not held while [report] runs.
 */
internal class CrashCollector(
    private val scope: CoroutineScope,
    private val report: suspend (List<Fingerprint>) -> Unit,
) {
    private val lost = LinkedHashSet<Fingerprint>()

    /** Adds a request that was broken by the loss of the target. */
    fun add(fingerprint: Fingerprint) {
        val isFirst = synchronized(this) { lost.isEmpty().also { lost += fingerprint } }
        if (!isFirst) return
        scope.launch {
            delay(COLLECTION_WINDOW)
            report(drain())
        }
    }

    @Synchronized
    private fun drain(): List<Fingerprint> = lost.toList().also { lost.clear() }

    private companion object {
        val COLLECTION_WINDOW = 100.milliseconds
    }
}
