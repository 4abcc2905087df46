package org.hibiscusproxy.daemon.entry

import jakarta.servlet.http.HttpServletRequest
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback

/**
 * Detects that a caller closed its connection while it waits for an answer. Jetty does not read
 * from a connection between the end of a request and the end of its response, so otherwise a
 * disconnect would be noticed only when bytes are written. A caller that pipelines its next
 * request counts as disconnected, because the bytes read here cannot be returned to Jetty.
 */
internal class DisconnectWatcher(request: HttpServletRequest) {
    private val endPoint = ServletContextRequest.getServletContextRequest(request)
        .connectionMetaData.connection.endPoint as? AbstractEndPoint
    private val isStopped = AtomicBoolean()
    private val stopSignal = IOException("disconnect watcher stopped")

    /** Calls [onDisconnect] at most once. The request body must have been read completely. */
    fun start(onDisconnect: () -> Unit) {
        endPoint?.tryFillInterested(
            object : Callback {
                override fun succeeded() {
                    if (isStopped.get()) return
                    val count = runCatching { endPoint.fill(BufferUtil.allocate(1)) }
                    if (count.getOrDefault(-1) == 0) start(onDisconnect) else onDisconnect()
                }

                override fun failed(failure: Throwable) {
                    if (failure !== stopSignal) onDisconnect()
                }
            },
        )
    }

    /** Returns the connection to Jetty; must be called before the response is completed. */
    fun stop() {
        if (isStopped.compareAndSet(false, true)) endPoint?.fillInterest?.onFail(stopSignal)
    }
}
