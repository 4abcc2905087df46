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

/** Answer to `GET /stats` of the weight store. */
@Serializable
data class WeightStats(
    val readers: Int,
    val startedModels: List<String>,
    val completedModels: List<String>,
    val bytesSent: Long,
)

/**
 * Weight store whose rate is shared evenly by all readers that can take bytes. The bytes of a model
 * are `model-bytes` long unless the query parameter `bytes` says otherwise. The lock of [readers]
 * guards the readers and models. It is taken under a reader's lock, never the other way round.
 */
class WeightServer private constructor(
    private val bytesPerSecond: Long,
    private val modelBytes: Long,
) : AutoCloseable {
    private lateinit var server: StandInServer
    private val readers = LinkedHashSet<WeightReader>()
    private val startedModels = ArrayList<String>()
    private val completedModels = ArrayList<String>()
    private val bytesSent = AtomicLong()
    private val ticker = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "weights").apply { isDaemon = true }
    }

    /** Where the store listens. */
    val address: NetworkAddress get() = server.address

    override fun close() {
        ticker.shutdownNow()
        server.close()
    }

    private fun allowAll() {
        val waiting = synchronized(readers) { readers.toList() }.filter { it.isWaiting }
        if (waiting.isEmpty()) return
        val share = maxOf(1, bytesPerSecond / TICKS_PER_SECOND / waiting.size)
        waiting.forEach { it.allow(share) }
    }

    private fun stats() = synchronized(readers) {
        WeightStats(
            readers = readers.size,
            startedModels = startedModels.toList(),
            completedModels = completedModels.toList(),
            bytesSent = bytesSent.get(),
        )
    }

    private fun ended(reader: WeightReader, model: String, isComplete: Boolean) {
        synchronized(readers) {
            readers -= reader
            if (isComplete) completedModels += model
        }
    }

    private inner class Downloads : HttpServlet() {
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
            val reader = WeightReader(
                context = context,
                size = size,
                wrote = { bytesSent.addAndGet(it.toLong()) },
                gone = { ended, isComplete -> ended(ended, model, isComplete) },
            )
            synchronized(readers) {
                readers += reader
                startedModels += model
            }
            context.response.outputStream.setWriteListener(reader)
        }
    }

    companion object {
        private const val TICKS_PER_SECOND = 50L

        /** Starts a store at [listen] with [bytesPerSecond] over all readers. */
        fun start(listen: NetworkAddress, bytesPerSecond: Long, modelBytes: Long): WeightServer {
            require(bytesPerSecond > 0) { "rate must be positive: $bytesPerSecond" }
            val store = WeightServer(bytesPerSecond, modelBytes)
            store.server = StandInServer.start(listen) { config ->
                config.jetty.modifyServletContextHandler { handler ->
                    val servlet = ServletHolder(store.Downloads())
                    servlet.isAsyncSupported = true
                    handler.addServlet(servlet, "/weights/*")
                }
                config.routes.get("/stats") { it.respondJson(store.stats()) }
                config.routes.get("/health") { it.result("ok") }
            }
            val period = 1_000 / TICKS_PER_SECOND
            store.ticker.scheduleAtFixedRate(store::allowAll, 0, period, TimeUnit.MILLISECONDS)
            return store
        }
    }
}
