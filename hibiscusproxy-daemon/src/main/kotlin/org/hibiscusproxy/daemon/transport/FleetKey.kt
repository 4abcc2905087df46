package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Secret that all processes and operators of a fleet share. It is never written to a log or sent:
 * connections prove its possession, and operators send a token derived from it.
 */
class FleetKey private constructor(private val secret: SecretKeySpec) {
    /** Token with which operators authenticate at a controller's HTTP interface. */
    val operatorToken: String
        get() = HexFormat.of().formatHex(derive("operator"))

    /** Compares [candidate] with [operatorToken] in constant time. */
    fun isOperatorToken(candidate: String): Boolean =
        MessageDigest.isEqual(operatorToken.encodeToByteArray(), candidate.encodeToByteArray())

    /** HMAC-SHA-256 with this key over [label] and [parts]. Parts have fixed sizes per label. */
    internal fun derive(label: String, vararg parts: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(secret)
        mac.update(label.encodeToByteArray())
        mac.update(0)
        parts.forEach(mac::update)
        return mac.doFinal()
    }

    override fun toString(): String = "FleetKey(hidden)"

    companion object {
        internal const val ALGORITHM = "HmacSHA256"
        private const val MINIMUM_BYTES = 16

        /** Key made of [bytes], or a failure when they are fewer than 16. */
        fun of(bytes: ByteArray): Result<FleetKey, FleetKeyFailure> = when {
            bytes.size < MINIMUM_BYTES -> Err(FleetKeyFailure.TooShort(bytes.size, MINIMUM_BYTES))
            else -> Ok(FleetKey(SecretKeySpec(bytes, ALGORITHM)))
        }

        /** Reads the key from [file]; white space around it is not part of the key. */
        fun read(file: Path): Result<FleetKey, FleetKeyFailure> = try {
            of(Files.readString(file).trim().encodeToByteArray())
        } catch (failure: IOException) {
            Err(FleetKeyFailure.Unreadable(file, failure.javaClass.simpleName))
        }
    }
}

/** Why no fleet key could be read. */
sealed class FleetKeyFailure {
    /** The [file] cannot be read. */
    data class Unreadable(val file: Path, val cause: String) : FleetKeyFailure()

    /** The key has [bytes] bytes and needs at least [minimum]. */
    data class TooShort(val bytes: Int, val minimum: Int) : FleetKeyFailure()
}
