package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.slf4j.LoggerFactory

/**
 * Reads the platform's list at an interval. Every controller does, so that the loss of one leaves
 * the others' lists; one line is logged when the list is lost and one when it is back.
 */
internal class TargetDiscovery(
    private val reader: TargetReader,
    private val interval: Duration,
    private val take: suspend (List<DiscoveredTarget>) -> Unit,
) : AutoCloseable {
    private var isLost = false

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                when (val listing = reader.read()) {
                    is TargetListing.Listed -> {
                        if (isLost) LOG.info("controller: target list is back")
                        isLost = false
                        take(listing.targets)
                    }

                    is TargetListing.Failed -> {
                        if (!isLost) LOG.warn("controller: target list lost, {}", listing.cause)
                        isLost = true
                    }
                }
                delay(interval)
            }
        }
    }

    override fun close() = reader.close()

    private companion object {
        val LOG = LoggerFactory.getLogger(TargetDiscovery::class.java)
    }
}
