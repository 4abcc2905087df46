package org.hibiscusproxy.daemon

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.LoggerFactory

private val FAILURE_PAUSE = 100.milliseconds
private val LOG = LoggerFactory.getLogger("org.hibiscusproxy.daemon.GuardedLoop")

/**
 * Repeats [step] until the coroutine is cancelled. A step that fails is logged with [component] as
 * prefix and followed by the next one: a loop that ended silently would let leases run out.
 */
internal suspend fun repeatGuarded(component: String, step: suspend () -> Unit): Nothing {
    while (true) {
        currentCoroutineContext().ensureActive()
        try {
            step()
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            LOG.error("{}: repeated step failed", component, failure)
            delay(FAILURE_PAUSE)
        }
    }
}
