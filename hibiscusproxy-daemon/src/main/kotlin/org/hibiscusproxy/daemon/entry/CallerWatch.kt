package org.hibiscusproxy.daemon.entry

import jakarta.servlet.http.HttpServletRequest
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback

/**
 * Notices that a caller closed its connection while it waits for an answer. Jetty reads nothing
 * from a connection between the end of a request and the end of its response, so without this a
 * caller that left would be noticed only when bytes are written to it. A caller that pipelines
 * its next request counts as gone, because the bytes read here cannot be given back.
 */
internal class CallerWatch(request: HttpServletRequest) {
    private val endPoint = ServletContextRequest.getServletContextRequest(request)
        .connectionMetaData.connection.endPoint as? AbstractEndPoint
    private val isStopped = AtomicBoolean()
    private val stopped = IOException("the watch was stopped")

    /** Calls [left] at most once. The request's body must have been read. */
    fun start(left: () -> Unit) {
        endPoint?.tryFillInterested(
            object : Callback {
                override fun succeeded() {
                    if (isStopped.get()) return
                    val count = runCatching { endPoint.fill(BufferUtil.allocate(1)) }
                    if (count.getOrDefault(-1) == 0) start(left) else left()
                }

                override fun failed(failure: Throwable) {
                    if (failure !== stopped) left()
                }
            },
        )
    }

    /** Gives the connection back to Jetty; must be called before the response is completed. */
    fun stop() {
        if (isStopped.compareAndSet(false, true)) endPoint?.fillInterest?.onFail(stopped)
    }
}
