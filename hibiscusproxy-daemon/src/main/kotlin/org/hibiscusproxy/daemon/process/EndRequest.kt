package org.hibiscusproxy.daemon.process

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The request to end the process, made by whatever first gives cause. Later causes change nothing. */
class EndRequest {
    private val requested = CountDownLatch(1)
    private var listener: Runnable? = null

    /** Why the process has to end; null while it need not. */
    @Volatile
    var cause: EndCause? = null
        private set

    /** Requests the end, unless it was requested before. */
    @Synchronized
    fun make(newCause: EndCause) {
        if (cause != null) return
        cause = newCause
        requested.countDown()
        listener?.run()
    }

    /** Has [action] called once the end is requested; at once if it was. Replaces a former action. */
    @Synchronized
    fun onMade(action: Runnable) {
        listener = action
        if (cause != null) action.run()
    }

    /** Waits for [milliseconds] until the end is requested and returns the cause, or null. */
    fun await(milliseconds: Long): EndCause? {
        requested.await(milliseconds, TimeUnit.MILLISECONDS)
        return cause
    }

    /** Waits until the end is requested and returns the cause. */
    fun await(): EndCause {
        requested.await()
        return checkNotNull(cause) { "end requested without a cause" }
    }
}
