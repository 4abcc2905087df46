package org.hibiscusproxy.standins.service

import io.javalin.http.Context
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.standins.answers.sha256
import org.hibiscusproxy.standins.http.StandInServer
import org.hibiscusproxy.standins.http.respondError
import org.hibiscusproxy.standins.http.respondJson

/**
 * Response of a plain service.
 *
 * @property bookingNumber sequence number of this booking for POST; null for other methods
 * @property bodySha256 SHA-256 of the request body, for comparison by the client
 */
@Serializable
data class ServiceAnswer(
    val instance: String,
    val method: String,
    val path: String,
    val idempotencyKey: String?,
    val bookingNumber: Long?,
    val bodySha256: String,
)

/** Response to `GET /stats`: counts since the start, and executions per idempotency key. */
@Serializable
data class ServiceStats(
    val instance: String,
    val running: Long,
    val requests: Long,
    val bookings: Long,
    val bookingsWithoutKey: Long,
    val executions: Map<String, Int>,
)

/**
 * A plain service that counts the executions of each booking. It does not deduplicate requests, so
 * that duplicates remain visible. The executions are guarded by the lock of their map.
 */
class ServiceServer private constructor(
    private val name: String,
    private val delayMilliseconds: Long,
) : AutoCloseable {
    private lateinit var server: StandInServer
    private val executions = LinkedHashMap<String, Int>()
    private val running = AtomicLong()
    private val requests = AtomicLong()
    private val bookings = AtomicLong()
    private val bookingsWithoutKey = AtomicLong()

    /** Address on which the service listens. */
    val address: NetworkAddress get() = server.address

    override fun close() = server.close()

    private fun serve(context: Context) {
        val delay = context.header("X-Delay-Milliseconds")?.toLong() ?: delayMilliseconds
        if (delay < 0) {
            context.respondError(400, "invalid-request", "delay must not be negative: $delay")
            return
        }
        val answer = execute(context)
        running.incrementAndGet()
        val timer = CompletableFuture<Unit>()
        context.future {
            timer.completeOnTimeout(Unit, delay, TimeUnit.MILLISECONDS).thenAccept {
                running.decrementAndGet()
                context.respondJson(answer)
            }
        }
    }

    private fun execute(context: Context): ServiceAnswer {
        requests.incrementAndGet()
        val method = context.method().name()
        val key = context.header("Idempotency-Key")
        val isBooking = method == "POST"
        if (isBooking) countExecution(key)
        return ServiceAnswer(
            instance = name,
            method = method,
            path = context.path(),
            idempotencyKey = key,
            bookingNumber = if (isBooking) bookings.incrementAndGet() else null,
            bodySha256 = context.bodyAsBytes().sha256(),
        )
    }

    private fun countExecution(key: String?) {
        if (key == null) {
            bookingsWithoutKey.incrementAndGet()
        } else {
            synchronized(executions) { executions.merge(key, 1, Int::plus) }
        }
    }

    private fun stats() = ServiceStats(
        instance = name,
        running = running.get(),
        requests = requests.get(),
        bookings = bookings.get(),
        bookingsWithoutKey = bookingsWithoutKey.get(),
        executions = synchronized(executions) { executions.toMap() },
    )

    companion object {
        /** Starts a service on [listen] that responds after [delayMilliseconds] by default. */
        fun start(listen: NetworkAddress, name: String, delayMilliseconds: Long): ServiceServer {
            val service = ServiceServer(name, delayMilliseconds)
            service.server = StandInServer.start(listen) { config ->
                config.routes.get("/stats") { it.respondJson(service.stats()) }
                config.routes.get("/health") { it.result("ok") }
                config.routes.get("/*", service::serve)
                config.routes.post("/*", service::serve)
                config.routes.put("/*", service::serve)
                config.routes.patch("/*", service::serve)
                config.routes.delete("/*", service::serve)
                config.routes.head("/*", service::serve)
                config.routes.options("/*", service::serve)
            }
            return service
        }
    }
}
