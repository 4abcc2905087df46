package org.hibiscusproxy.daemon.controller

import java.security.MessageDigest
import org.hibiscusproxy.daemon.transport.FleetKey

/**
 * Verifies signed operator calls and rejects replays. A call is refused if its time stamp lies
 * outside the accepted window or before the start of this process, whose nonces were not kept.
 * Nonces are recorded for as long as a call with them could be valid. Only authentication uses the
 * wall clock. Safe for concurrent use: the table of nonces is guarded by this object's lock.
 *
 * @param address the address that calls must be made to, or null when it is unknown because the
 *   listener binds to a wildcard address or an ephemeral port
 * @param clock milliseconds since the epoch
 */
internal class CallVerifier(
    private val key: FleetKey,
    private val address: String?,
    private val clock: () -> Long = System::currentTimeMillis,
) {
    private val startedAt = clock()
    private val nonces = LinkedHashMap<String, Long>()

    /** Returns why the call is refused, or null if it is accepted. */
    fun verify(call: SignedCall, signature: String, body: ByteArray): CallRefusal? {
        val expected = call.signature(key, body).encodeToByteArray()
        if (!MessageDigest.isEqual(expected, signature.encodeToByteArray())) {
            return CallRefusal.BAD_SIGNATURE
        }
        if (address != null && call.address != address) return CallRefusal.OTHER_ADDRESS
        val now = clock()
        val isInWindow =
            call.time >= startedAt &&
                call.time in now - WINDOW_MILLISECONDS..now + WINDOW_MILLISECONDS
        if (!isInWindow) return CallRefusal.STALE
        return recordNonce(call, now)
    }

    @Synchronized
    private fun recordNonce(call: SignedCall, now: Long): CallRefusal? {
        // Nonces are kept for two windows: a time stamp may be up to one window in the future, and
        // the call stays valid for another window after that time.
        nonces.values.removeIf { it < now - 2 * WINDOW_MILLISECONDS }
        if (nonces.size >= MAXIMUM_NONCES) return CallRefusal.TOO_MANY_CALLS
        return if (nonces.putIfAbsent(call.nonce, now) == null) null else CallRefusal.REPLAYED
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 30_000L
        const val MAXIMUM_NONCES = 20_000
    }
}

/** Reason why an operator's call is refused. */
internal enum class CallRefusal(val message: String) {
    /** The caller does not hold the fleet key, or the call was changed. */
    BAD_SIGNATURE("the signature does not match"),

    /** The call was signed for the address of another controller. */
    OTHER_ADDRESS("the call is signed for another address"),

    /** The time stamp is outside the accepted window or before the start of the controller. */
    STALE("the time stamp is too old or in the future; compare the clocks"),

    /** The nonce was used before. */
    REPLAYED("the call was received before"),

    /** The table of nonces is full. */
    TOO_MANY_CALLS("too many calls"),
}
