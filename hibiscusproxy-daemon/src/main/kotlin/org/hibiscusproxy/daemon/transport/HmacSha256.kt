package org.hibiscusproxy.daemon.transport

import java.security.MessageDigest
import kotlin.experimental.xor

/**
 * HMAC-SHA-256 (RFC 2104) over the platform's SHA-256. `javax.crypto.Mac` computes the same, but it
 * loads and checks all cryptography providers, for which callers wait at the start of a process.
 * Not safe for concurrent use.
 *
 * @param key secret of any length
 */
internal class HmacSha256(key: ByteArray) {
    private val inner = MessageDigest.getInstance(DIGEST)
    private val outer = MessageDigest.getInstance(DIGEST)
    private val block = (if (key.size > BLOCK_BYTES) inner.digest(key) else key).copyOf(BLOCK_BYTES)
    private val innerPad = pad(INNER_PAD)
    private val outerPad = pad(OUTER_PAD)

    init {
        inner.update(innerPad)
    }

    fun update(input: ByteArray) = inner.update(input)

    fun update(input: Byte) = inner.update(input)

    /** Returns the authentication code of all input since the last call. */
    fun finish(): ByteArray {
        outer.update(outerPad)
        val code = outer.digest(inner.digest())
        inner.update(innerPad)
        return code
    }

    private fun pad(value: Byte) = ByteArray(BLOCK_BYTES) { block[it] xor value }

    private companion object {
        const val DIGEST = "SHA-256"
        const val BLOCK_BYTES = 64
        const val INNER_PAD: Byte = 0x36
        const val OUTER_PAD: Byte = 0x5c
    }
}
