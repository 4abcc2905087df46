package org.hibiscusproxy.daemon.sidecar

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.ConnectionPool
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Interceptor
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.hibiscusproxy.protocol.EngineOrder
import org.hibiscusproxy.protocol.EngineRefusal
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome

/**
 * Sends orders to the engine with the fencing number of the sidecar's lease. The lease is checked
 * by the monotonic clock on the open connection, right before the first byte, so that a sidecar
 * that was suspended until its lease expired sends nothing when it resumes.
 *
 * An order of an earlier incarnation does not take effect after one of a later incarnation:
 * - Each incarnation gets its fencing number from the replicated log, and a later one gets a higher
 *   number. An engine that checks the number refuses the earlier incarnation's orders once it has
 *   accepted one of the later incarnation, however late they arrive.
 * - For an engine that ignores the number (`checksFencing` false), the controllers allocate the
 *   number of a new incarnation only after every lease that an earlier one may hold has expired.
 *   The earlier incarnation sends only under a valid lease, hence before the later one may send.
 *
 * One gap remains for engines that ignore the number: if the process is suspended or the network
 * delays the bytes between the check and the send, the engine may accept the order after orders of
 * a later incarnation. This cannot be prevented outside the engine; it applies to any fencing in
 * front of a server that does not check the number. An engine that checks still accepts a stale
 * order until it has seen the higher number. This is correct, because the effect is that of an
 * order sent before the first one of the later incarnation.
 *
 * @param timeout time for the engine's answer, after which the outcome is unknown
 * @param lease returns the lease that is valid at the time of the call, or null
 * @param isDraining returns whether the sidecar is shutting down
 */
internal class OrderClient(
    targetUrl: String,
    private val timeout: Duration,
    private val lease: () -> LeaseGrant?,
    private val isDraining: () -> Boolean,
) {
    /** Progress of one order until its answer arrives. */
    private class Transmission(val fencingNumber: Long) {
        var refusal: NotSentReason? = null
        var mayHaveBeenSent = false
    }

    private class OrderNotSentException(reason: NotSentReason) :
        IOException("order not sent: $reason")

    private val url = (targetUrl.trimEnd('/') + PATH).toHttpUrl()

    /** No connection is reused: if the engine closed it meanwhile, the outcome would be unknown. */
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
        .callTimeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .addNetworkInterceptor(::checkAndProceed)
        .build()

    /** Sends [order] and blocks until its outcome is known or [timeout] has passed. */
    fun send(order: EngineOrder): OrderOutcome {
        val fencingNumber = lease()?.fencingNumber
            ?: return OrderOutcome.NotSent(NotSentReason.NO_LEASE)
        val transmission = Transmission(fencingNumber)
        val body = OrderBody(fencingNumber, order.kind, order.value)
        val request = Request.Builder()
            .url(url)
            .post(Json.encodeToString(OrderBody.serializer(), body).toRequestBody(JSON))
            .tag(Transmission::class.java, transmission)
            .build()
        return try {
            client.newCall(request).execute().use { outcome(it.code, fencingNumber) }
        } catch (_: IOException) {
            when {
                transmission.mayHaveBeenSent -> OrderOutcome.Unknown
                else -> OrderOutcome.NotSent(
                    transmission.refusal ?: NotSentReason.ENGINE_UNREACHABLE,
                )
            }
        }
    }

    /** Runs on the open connection before the first byte; a second call would be a resend. */
    private fun checkAndProceed(chain: Interceptor.Chain): Response {
        val transmission = checkNotNull(chain.request().tag(Transmission::class.java))
        if (transmission.mayHaveBeenSent) throw IOException("order was already sent")
        val refusal = refusalOf(transmission.fencingNumber)
        if (refusal != null) {
            transmission.refusal = refusal
            throw OrderNotSentException(refusal)
        }
        transmission.mayHaveBeenSent = true
        return chain.proceed(chain.request())
    }

    private fun refusalOf(fencingNumber: Long): NotSentReason? = when {
        isDraining() -> NotSentReason.LEAVING
        lease()?.fencingNumber != fencingNumber -> NotSentReason.NO_LEASE
        else -> null
    }

    private fun outcome(status: Int, fencingNumber: Long): OrderOutcome = when (status) {
        in SUCCESS -> OrderOutcome.Accepted(fencingNumber)
        CONFLICT -> OrderOutcome.RefusedByEngine(EngineRefusal.STALE_FENCING_NUMBER, status)
        in INVALID -> OrderOutcome.RefusedByEngine(EngineRefusal.INVALID_ORDER, status)
        else -> OrderOutcome.Unknown
    }

    /** Body of the engine's `POST /orders`. */
    @Serializable
    @SerialName("org.hibiscusproxy.daemon.sidecar.OrderCall.OrderBody")
    private data class OrderBody(val fencingNumber: Long, val kind: String, val value: String)

    private companion object {
        const val PATH = "/orders"
        const val CONFLICT = 409
        val SUCCESS = 200..299
        val INVALID = 400..499
        val JSON = "application/json".toMediaType()
    }
}
