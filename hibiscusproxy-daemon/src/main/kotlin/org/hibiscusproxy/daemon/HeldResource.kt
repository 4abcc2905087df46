package org.hibiscusproxy.daemon

import org.slf4j.LoggerFactory

private val LOG = LoggerFactory.getLogger("org.hibiscusproxy.daemon.HeldResource")

/** Opens the listener of [role] at [address] by [open], and logs a failure. */
internal suspend fun <T> openListener(role: String, address: Any, open: suspend () -> T): T = try {
    open()
} catch (failure: Exception) {
    LOG.warn("{}: cannot listen at {}: {}", role, address, failure.toString())
    throw failure
}
