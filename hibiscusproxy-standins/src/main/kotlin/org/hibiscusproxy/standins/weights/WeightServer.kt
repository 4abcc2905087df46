package org.hibiscusproxy.standins.weights

import jakarta.servlet.http.HttpServlet
import jakarta.servlet.http.HttpServletRequest
import jakarta.servlet.http.HttpServletResponse
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import org.eclipse.jetty.ee10.servlet.ServletHolder
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.respondJson

/** Response to `GET /stats` of the weight store. */
@Serializable
data class WeightStats(
    val readers: Int,
    val startedModels: List<String>,
    val completedModels: List<String>,
    val bytesSent: Long,
)

/**
 * Weight store whose bandwidth is shared evenly by all downloads that can accept bytes. The size of
 * a model is `model-bytes` unless the query parameter `bytes` overrides it. The lock of [downloads]
 * guards the downloads and the model lists. Lock order: the lock of a download is acquired before
 * the lock of [downloads], never after it.
 */
class WeightServer private constructor(
    private val bytesPerSecond: Long,
    private val modelBytes: Long,
) : AutoCloseable {
    private lateinit var server: StandInServer
    private val downloads = LinkedHashSet<WeightDownload>()
    private val startedModels = ArrayList<String>()
    private val completedModels = ArrayList<String>()
    private val bytesSent = AtomicLong()
    private val ticker = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "weights").apply { isDaemon = true }
    }

    /** Address on which the store listens. */
    val address: NetworkAddress get() = server.address

    override fun close() {
        ticker.shutdownNow()
        server.close()
    }

    private fun distributeBandwidth() {
        val waiting = synchronized(downloads) { downloads.toList() }.filter { it.isWaiting }
        if (waiting.isEmpty()) return
        val share = maxOf(1, bytesPerSecond / TICKS_PER_SECOND / waiting.size)
        waiting.forEach { it.addAllowance(share) }
    }

    private fun stats() = synchronized(downloads) {
        WeightStats(
            readers = downloads.size,
            startedModels = startedModels.toList(),
            completedModels = completedModels.toList(),
            bytesSent = bytesSent.get(),
        )
    }

    private fun removeDownload(download: WeightDownload, model: String, isComplete: Boolean) {
        synchronized(downloads) {
            downloads -= download
            if (isComplete) completedModels += model
        }
    }

    private inner class DownloadServlet : HttpServlet() {
        override fun doGet(request: HttpServletRequest, response: HttpServletResponse) {
            val model = request.pathInfo.orEmpty().removePrefix("/")
            val size = request.getParameter("bytes")?.toLongOrNull() ?: modelBytes
            if (model.isEmpty() || size < 0) {
                response.sendError(HttpServletResponse.SC_BAD_REQUEST)
                return
            }
            response.contentType = "application/octet-stream"
            response.setContentLengthLong(size)
            val context = request.startAsync()
            context.timeout = 0
            val download = WeightDownload(
                context = context,
                size = size,
                onWrite = { bytesSent.addAndGet(it.toLong()) },
                onClose = { ended, isComplete -> removeDownload(ended, model, isComplete) },
            )
            synchronized(downloads) {
                downloads += download
                startedModels += model
            }
            context.response.outputStream.setWriteListener(download)
        }
    }

    companion object {
        private const val TICKS_PER_SECOND = 50L

        /** Starts a store on [listen] with [bytesPerSecond] in total. */
        fun start(listen: NetworkAddress, bytesPerSecond: Long, modelBytes: Long): WeightServer {
            require(bytesPerSecond > 0) { "bandwidth must be positive: $bytesPerSecond" }
            val store = WeightServer(bytesPerSecond, modelBytes)
            store.server = StandInServer.start(listen) { config ->
                config.jetty.modifyServletContextHandler { handler ->
                    val servlet = ServletHolder(store.DownloadServlet())
                    servlet.isAsyncSupported = true
                    handler.addServlet(servlet, "/weights/*")
                }
                config.routes.get("/stats") { it.respondJson(store.stats()) }
                config.routes.get("/health") { it.result("ok") }
            }
            val period = 1_000 / TICKS_PER_SECOND
            store.ticker.scheduleAtFixedRate(
                store::distributeBandwidth,
                0,
                period,
                TimeUnit.MILLISECONDS,
            )
            return store
        }
    }
}
