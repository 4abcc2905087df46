package org.hibiscusproxy.daemon.sidecar

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
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
 * Sends an order to the engine with the fencing number of the sidecar's own lease. The lease is
 * checked on the open connection right before the first byte, by the monotonic clock, so that a
 * sidecar that was frozen until its lease ran out sends nothing when it continues.
 *
 * Why an order of an earlier incarnation does not take effect after one of a later incarnation:
 * - Each incarnation gets its fencing number from the replicated log, and a later one gets a higher
 *   number. An engine that checks the number refuses the earlier incarnation's orders as soon as
 *   it has accepted one of the later incarnation, however late they arrive.
 * - For an engine that ignores the number (`checksFencing` false) the controllers allocate the
 *   number of a new incarnation only after every lease that an earlier one may hold has run out.
 *   The earlier incarnation sends only under a valid lease, hence before the later one may send.
 *
 * What remains for engines that ignore the number: a process that is frozen, or a network that
 * holds the bytes back, between the check and the send. The engine may then take the order after
 * orders of a later incarnation. Nothing outside the engine can close this gap, and the same
 * instant exists for every fence in front of a server that does not check. An engine that checks
 * still takes a stale order until it has seen the higher number, which is no fault: its effect is
 * that of an order before the first one of the later incarnation.
 *
 * @param lease the lease valid at the instant of the call, or null
 * @param isLeaving whether the sidecar shuts down
 * @param limit time for the engine's answer, after which the outcome is unknown
 */
internal class OrderCall(
    targetUrl: String,
    private val limit: Duration,
    private val lease: () -> LeaseGrant?,
    private val isLeaving: () -> Boolean,
) {
    /** Fate of one order until its answer. */
    private class Sending(val fencingNumber: Long) {
        var refusal: NotSentReason? = null
        var mayHaveBeenSent = false
    }

    private class OrderRefusedException(reason: NotSentReason) : IOException("not sent: $reason")

    private val url = (targetUrl.trimEnd('/') + PATH).toHttpUrl()

    /** On a kept connection that the engine closes at that moment the outcome would be unknown. */
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
        .callTimeout(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS)
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .addNetworkInterceptor(::checkAndProceed)
        .build()

    /** Carries out [order] and blocks until its outcome is known or the limit has passed. */
    fun run(order: EngineOrder): OrderOutcome {
        val fencingNumber = lease()?.fencingNumber
            ?: return OrderOutcome.NotSent(NotSentReason.NO_LEASE)
        val sending = Sending(fencingNumber)
        val body = OrderBody(fencingNumber, order.kind, order.value)
        val request = Request.Builder()
            .url(url)
            .post(Json.encodeToString(OrderBody.serializer(), body).toRequestBody(JSON))
            .tag(Sending::class.java, sending)
            .build()
        return try {
            client.newCall(request).execute().use { outcome(it.code, fencingNumber) }
        } catch (_: IOException) {
            when {
                sending.mayHaveBeenSent -> OrderOutcome.Unknown
                else -> OrderOutcome.NotSent(
                    sending.refusal ?: NotSentReason.ENGINE_UNREACHABLE,
                )
            }
        }
    }

    /** Runs between an open connection and the first byte; a second pass would be a resend. */
    private fun checkAndProceed(chain: Interceptor.Chain): Response {
        val sending = checkNotNull(chain.request().tag(Sending::class.java))
        if (sending.mayHaveBeenSent) throw IOException("an order is sent once")
        val refusal = refusalOf(sending.fencingNumber)
        if (refusal != null) {
            sending.refusal = refusal
            throw OrderRefusedException(refusal)
        }
        sending.mayHaveBeenSent = true
        return chain.proceed(chain.request())
    }

    private fun refusalOf(fencingNumber: Long): NotSentReason? = when {
        isLeaving() -> NotSentReason.LEAVING
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
    private data class OrderBody(val fencingNumber: Long, val kind: String, val value: String)

    private companion object {
        const val PATH = "/orders"
        const val CONFLICT = 409
        val SUCCESS = 200..299
        val INVALID = 400..499
        val JSON = "application/json".toMediaType()
    }
}
