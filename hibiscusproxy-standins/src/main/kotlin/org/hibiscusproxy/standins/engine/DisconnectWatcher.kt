package org.hibiscusproxy.standins.engine

import jakarta.servlet.http.HttpServletRequest
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback

/**
 * Detects that a client closed its connection while its response is pending. Jetty does not read
 * from the connection during that time, so a request that writes nothing would not detect it. A
 * client that pipelines its next request is treated as disconnected, because the bytes read can't
 * be returned to Jetty.
 */
class DisconnectWatcher(request: HttpServletRequest) {
    private val endPoint: AbstractEndPoint? = ServletContextRequest
        .getServletContextRequest(request)
        .connectionMetaData.connection.endPoint as? AbstractEndPoint
    private val stopped = IOException("stopped watching the connection")
    private val isWaiting = AtomicBoolean()

    /** Calls [onDisconnect] once when the client has closed its connection. */
    fun start(onDisconnect: () -> Unit) {
        isWaiting.set(true)
        endPoint?.tryFillInterested(
            object : Callback {
                override fun succeeded() {
                    isWaiting.set(false)
                    val count = runCatching { endPoint.fill(BufferUtil.allocate(PROBE_BYTES)) }
                    if (count.getOrDefault(-1) == 0) start(onDisconnect) else onDisconnect()
                }

                override fun failed(failure: Throwable) {
                    isWaiting.set(false)
                    if (failure !== stopped) onDisconnect()
                }
            },
        )
    }

    /**
     * Stops watching, which returns the connection to Jetty. Must be called before the response
     * ends: Jetty then waits for the next request, and a later call would close the connection.
     */
    fun stop() {
        if (isWaiting.getAndSet(false)) endPoint?.fillInterest?.onFail(stopped)
    }

    private companion object {
        const val PROBE_BYTES = 16
    }
}
