package org.hibiscusproxy.daemon.transport

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.Inflater

/**
 * Compresses large encoded messages. A compressed one starts with a byte that no CBOR encoding of a
 * message starts with, followed by a zlib stream.
 */
internal object MessageCompression {
    private const val MARKER = 0
    private const val MINIMUM_BYTES = 8_192
    private const val BUFFER_BYTES = 8_192

    /** Largest message that is compressed or expanded. */
    const val MAXIMUM_BYTES = 8 * 1024 * 1024

    /** Returns [encoded] compressed, or unchanged if it is small or above [MAXIMUM_BYTES]. */
    fun compress(encoded: ByteArray): ByteArray {
        if (encoded.size !in MINIMUM_BYTES..MAXIMUM_BYTES) return encoded
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            val output = ByteArrayOutputStream(encoded.size / 4)
            output.write(MARKER)
            DeflaterOutputStream(output, deflater, BUFFER_BYTES).use { it.write(encoded) }
            return output.toByteArray()
        } finally {
            deflater.end()
        }
    }

    /**
     * Reverses [compress].
     *
     * @throws IllegalArgumentException if [payload] is damaged or too large when expanded
     */
    fun expand(payload: ByteArray): ByteArray {
        if (payload.firstOrNull()?.toInt() != MARKER) return payload
        val inflater = Inflater()
        try {
            inflater.setInput(payload, 1, payload.size - 1)
            return inflater.expandAll()
        } catch (failure: DataFormatException) {
            throw IllegalArgumentException("damaged compressed message", failure)
        } finally {
            inflater.end()
        }
    }

    private fun Inflater.expandAll(): ByteArray {
        val output = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!finished()) {
            val count = inflate(buffer)
            require(count > 0 || finished()) { "truncated compressed message" }
            output.write(buffer, 0, count)
            require(output.size() <= MAXIMUM_BYTES) {
                "compressed message expands to more than $MAXIMUM_BYTES bytes"
            }
        }
        return output.toByteArray()
    }
}
