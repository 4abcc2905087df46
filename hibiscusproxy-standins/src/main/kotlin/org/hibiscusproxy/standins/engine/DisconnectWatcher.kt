package org.hibiscusproxy.standins.engine

import jakarta.servlet.http.HttpServletRequest
import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.AbstractEndPoint
import org.eclipse.jetty.util.BufferUtil
import org.eclipse.jetty.util.Callback

/**
 * Notices that a caller closed its connection while its response is pending. Jetty does not read
 * from a connection in that time, so a request that writes nothing would not notice. A caller that
 * sends its next request early counts as gone, because its bytes can't be given back to Jetty.
 */
class DisconnectWatcher(request: HttpServletRequest) {
    private val endPoint: AbstractEndPoint? = ServletContextRequest
        .getServletContextRequest(request)
        .connectionMetaData.connection.endPoint as? AbstractEndPoint
    private val stopped = IOException("no longer watched")
    private val isWaiting = AtomicBoolean()

    /** Calls [gone] once when the caller has closed its connection. */
    fun start(gone: () -> Unit) {
        isWaiting.set(true)
        endPoint?.tryFillInterested(
            object : Callback {
                override fun succeeded() {
                    isWaiting.set(false)
                    val count = runCatching { endPoint.fill(BufferUtil.allocate(PROBE_BYTES)) }
                    if (count.getOrDefault(-1) == 0) start(gone) else gone()
                }

                override fun failed(failure: Throwable) {
                    isWaiting.set(false)
                    if (failure !== stopped) gone()
                }
            },
        )
    }

    /**
     * Gives the connection back to Jetty. Must happen before the response ends, because Jetty then
     * waits for the next request and this would close the connection.
     */
    fun stop() {
        if (isWaiting.getAndSet(false)) endPoint?.fillInterest?.onFail(stopped)
    }

    private companion object {
        const val PROBE_BYTES = 16
    }
}
