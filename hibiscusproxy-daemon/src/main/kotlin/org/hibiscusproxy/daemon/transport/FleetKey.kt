package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Secret shared by all processes and operators of a fleet. The key itself is never logged or sent:
 * peers prove that they hold it in the handshake, and operators sign their calls with it.
 */
class FleetKey private constructor(private val secret: ByteArray) {
    /** Token derived from the key. Operators' calls are signed instead and do not carry it. */
    val operatorToken: String
        get() = HexFormat.of().formatHex(derive("operator"))

    /** Compares [candidate] with [operatorToken] in constant time. */
    fun isOperatorToken(candidate: String): Boolean =
        MessageDigest.isEqual(operatorToken.encodeToByteArray(), candidate.encodeToByteArray())

    /**
     * HMAC-SHA-256 with this key over [label] and [parts]. The sizes of the parts must be fixed per
     * label, since the input contains no delimiters between them.
     */
    internal fun derive(label: String, vararg parts: ByteArray): ByteArray {
        val code = HmacSha256(secret)
        code.update(label.encodeToByteArray())
        code.update(0)
        parts.forEach(code::update)
        return code.finish()
    }

    override fun toString(): String = "FleetKey(hidden)"

    companion object {
        private const val MINIMUM_BYTES = 16

        /** Creates a key from [bytes], which must be at least 16. */
        fun of(bytes: ByteArray): Result<FleetKey, FleetKeyFailure> = when {
            bytes.size < MINIMUM_BYTES -> Err(FleetKeyFailure.TooShort(bytes.size, MINIMUM_BYTES))
            else -> Ok(FleetKey(bytes.copyOf()))
        }

        /** Reads the key from [file]; leading and trailing white space is ignored. */
        fun read(file: Path): Result<FleetKey, FleetKeyFailure> = try {
            of(Files.readString(file).trim().encodeToByteArray())
        } catch (failure: IOException) {
            Err(FleetKeyFailure.Unreadable(file, failure.javaClass.simpleName))
        }
    }
}

/** Reason why the fleet key could not be loaded. */
sealed class FleetKeyFailure {
    /** [file] cannot be read. */
    data class Unreadable(val file: Path, val cause: String) : FleetKeyFailure()

    /** The key has [bytes] bytes but needs at least [minimum]. */
    data class TooShort(val bytes: Int, val minimum: Int) : FleetKeyFailure()
}
