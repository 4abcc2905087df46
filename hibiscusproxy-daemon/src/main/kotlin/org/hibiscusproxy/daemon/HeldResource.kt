package org.hibiscusproxy.daemon

import io.javalin.Javalin
import io.javalin.util.JavalinBindException
import java.net.BindException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.hibiscusproxy.model.NetworkAddress
import org.slf4j.LoggerFactory

/** Longer than an earlier process takes to shut down or stands still. */
internal val HELD_LIMIT = 30.seconds
private val RETRY_INTERVAL = 100.milliseconds
private val LOG = LoggerFactory.getLogger("org.hibiscusproxy.daemon.HeldResource")

/**
 * Opens a listener of [role] at [address] by [open]. While the address is in use, tries again for
 * [HELD_LIMIT], and then throws the failure.
 */
internal suspend fun <T> openListener(
    role: String,
    address: NetworkAddress,
    time: TimeSource = TimeSource.Monotonic,
    open: suspend () -> T,
): T {
    val attempt: suspend () -> Result<T> = {
        try {
            Result.success(open())
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Result.failure(failure)
        }
    }
    val resource = "$role: cannot listen at $address"
    return retryWhileHeld(resource, time, attempt) { it.exceptionOrNull() }.getOrThrow()
}

/**
 * Calls [open] again for [HELD_LIMIT] while its result tells, by [cause], that something else holds
 * [resource], which begins the log lines.
 */
internal suspend fun <T> retryWhileHeld(
    resource: String,
    time: TimeSource = TimeSource.Monotonic,
    open: suspend () -> T,
    cause: (T) -> Any?,
): T {
    val startedAt = time.markNow()
    var result = open()
    val first = cause(result) ?: return result
    val isRetried = first !is Throwable || first.isAddressInUse
    LOG.warn("{}: {}{}", resource, first, if (isRetried) "; trying for $HELD_LIMIT" else "")
    var last: Any? = first
    while (isRetried && last != null && startedAt.elapsedNow() < HELD_LIMIT) {
        delay(RETRY_INTERVAL)
        result = open()
        last = cause(result)
    }
    val ending = if (last == null) "solved" else "given up"
    LOG.info("{}: {} after {}", resource, ending, startedAt.elapsedNow())
    return result
}

private val Throwable.isAddressInUse: Boolean
    get() = generateSequence(this) { it.cause }
        .any { it is BindException || it is JavalinBindException }

/** Starts the server at [address], and stops it if that fails. */
internal fun Javalin.startOrStop(address: NetworkAddress) {
    try {
        start(address.host, address.port)
    } catch (failure: Exception) {
        stop()
        throw failure
    }
}
