package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.slf4j.LoggerFactory

/**
 * Polls the platform's list of targets. Every controller does so, so that entries still get the list
 * from the others if one controller fails. Logs once when the list becomes unreadable and once when
 * it is readable again.
 *
 * @param onTargets called with each list and the time at which its read began
 */
internal class TargetDiscovery(
    private val reader: TargetReader,
    private val interval: Duration,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onTargets: suspend (List<DiscoveredTarget>, ComparableTimeMark) -> Unit,
) : AutoCloseable {
    private var isUnreadable = false

    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded("controller") {
                val readAt = time.markNow()
                update(reader.read(), readAt)
                delay(interval)
            }
        }
    }

    private suspend fun update(listing: TargetListing, readAt: ComparableTimeMark) =
        when (listing) {
            is TargetListing.Listed -> {
                if (isUnreadable) LOG.info("controller: target list is readable again")
                isUnreadable = false
                onTargets(listing.targets, readAt)
            }

            is TargetListing.Failed -> {
                if (!isUnreadable) {
                    LOG.warn(
                        "controller: cannot read the target list, keeping the last targets: {}",
                        listing.cause,
                    )
                }
                isUnreadable = true
            }
        }

    override fun close() = reader.close()

    private companion object {
        val LOG = LoggerFactory.getLogger(TargetDiscovery::class.java)
    }
}
