package org.hibiscusproxy.daemon.controller

import java.security.MessageDigest
import java.util.HexFormat
import org.hibiscusproxy.daemon.transport.FleetKey

/**
 * Signature of one operator's call: an HMAC with the fleet key over method, path with query, body,
 * time stamp, nonce and the address called, so that the key is never sent and a captured call works
 * neither changed nor at another controller.
 *
 * @property time milliseconds since the epoch by the caller's clock
 * @property nonce random text, new for each call
 * @property address host and port of the controller called
 */
data class SignedCall(
    val method: String,
    val path: String,
    val time: Long,
    val nonce: String,
    val address: String,
) {
    /** The signature of this call with [body]. */
    fun signature(key: FleetKey, body: ByteArray): String {
        val text = listOf(method, path, "$time", nonce, address).joinToString("\n")
        val digest = MessageDigest.getInstance("SHA-256")
        // The lengths keep parts from being moved between text and body.
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
