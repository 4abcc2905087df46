package org.hibiscusproxy.daemon

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.LoggerFactory

private val FAILURE_DELAY = 100.milliseconds
private val LOG = LoggerFactory.getLogger("org.hibiscusproxy.daemon.GuardedLoop")

/**
 * Repeats [step] until the coroutine is cancelled. A failed step is logged with [component] as
 * prefix and the loop continues: if it ended silently, leases would expire.
 */
internal suspend fun repeatGuarded(component: String, step: suspend () -> Unit): Nothing {
    while (true) {
        currentCoroutineContext().ensureActive()
        try {
            step()
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            LOG.error("{}: loop iteration failed, retrying", component, failure)
            delay(FAILURE_DELAY)
        }
    }
}
