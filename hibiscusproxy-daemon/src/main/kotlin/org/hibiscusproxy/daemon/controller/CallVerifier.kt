package org.hibiscusproxy.daemon.controller

import java.security.MessageDigest
import org.hibiscusproxy.daemon.transport.FleetKey

/**
 * Accepts each signed call once. Calls older or newer than the window are refused, and within the
 * window each nonce is remembered. Calls from before the start are refused too, as their nonces
 * are not known any more. Only authentication uses the wall clock. Safe for concurrent use: the
 * table of nonces is guarded by this object's lock.
 *
 * @param address the address that calls must be made to, or null when it is not known because the
 *   listener accepts calls on all addresses of the machine
 * @param clock milliseconds since the epoch
 */
internal class CallVerifier(
    private val key: FleetKey,
    private val address: String?,
    private val clock: () -> Long = System::currentTimeMillis,
) {
    private val startedAt = clock()
    private val nonces = LinkedHashMap<String, Long>()

    /** Why the call is refused, or null when it is accepted. */
    fun refusalOf(call: SignedCall, signature: String, body: ByteArray): CallRefusal? {
        val expected = call.signature(key, body).encodeToByteArray()
        if (!MessageDigest.isEqual(expected, signature.encodeToByteArray())) {
            return CallRefusal.BAD_SIGNATURE
        }
        if (address != null && call.address != address) return CallRefusal.OTHER_ADDRESS
        val now = clock()
        val isTimely = call.time >= startedAt && call.time in now - WINDOW..now + WINDOW
        if (!isTimely) return CallRefusal.STALE
        return remember(call, now)
    }

    @Synchronized
    private fun remember(call: SignedCall, now: Long): CallRefusal? {
        // Nonces are dropped in the order of arrival, after twice the window: a stamp may lie one
        // window ahead and is valid for another one after that.
        nonces.values.removeIf { it < now - 2 * WINDOW }
        if (nonces.size >= MAXIMUM_NONCES) return CallRefusal.TOO_MANY_CALLS
        return if (nonces.putIfAbsent(call.nonce, now) == null) null else CallRefusal.REPLAYED
    }

    private companion object {
        const val WINDOW = 30_000L
        const val MAXIMUM_NONCES = 20_000
    }
}

/** Why an operator's call is not accepted. */
internal enum class CallRefusal(val message: String) {
    /** The caller does not hold the fleet key, or the call was changed. */
    BAD_SIGNATURE("the signature does not match"),

    /** The call was made to another controller. */
    OTHER_ADDRESS("the call is signed for another address"),

    /** The time stamp is outside of the window or from before the controller's start. */
    STALE("the time stamp is too old or in the future; compare the clocks"),

    /** The call was received before. */
    REPLAYED("the call was received before"),

    /** More calls than can be remembered arrived within the window. */
    TOO_MANY_CALLS("too many calls"),
}
