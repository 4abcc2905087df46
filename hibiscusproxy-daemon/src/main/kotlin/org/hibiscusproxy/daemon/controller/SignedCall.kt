package org.hibiscusproxy.daemon.controller

import java.security.MessageDigest
import java.util.HexFormat
import org.hibiscusproxy.daemon.transport.FleetKey

/**
 * The signed parts of an operator's call. The signature is an HMAC with the fleet key over method,
 * path with query, body, time stamp, nonce and called address. The key itself is never sent, and a
 * captured call can neither be altered nor be replayed to another controller.
 *
 * @property time milliseconds since the epoch by the caller's clock
 * @property nonce random text, unique to each call
 * @property address host and port of the controller called
 */
data class SignedCall(
    val method: String,
    val path: String,
    val time: Long,
    val nonce: String,
    val address: String,
) {
    /** Returns the signature of this call with [body], in hexadecimal. */
    fun signature(key: FleetKey, body: ByteArray): String {
        val text = listOf(method, path, "$time", nonce, address).joinToString("\n")
        val digest = MessageDigest.getInstance("SHA-256")
        // The length prefix prevents bytes from being shifted between the text and the body.
        digest.update("${text.length} ${body.size}\n$text".encodeToByteArray())
        digest.update(body)
        return HexFormat.of().formatHex(key.derive(LABEL, digest.digest()))
    }

    companion object {
        /** Header with [time]. */
        const val TIME_HEADER: String = "X-Hibiscus-Time"

        /** Header with [nonce]. */
        const val NONCE_HEADER: String = "X-Hibiscus-Nonce"

        /** Header with the signature. */
        const val SIGNATURE_HEADER: String = "X-Hibiscus-Signature"
        private const val LABEL = "operator call"
    }
}
