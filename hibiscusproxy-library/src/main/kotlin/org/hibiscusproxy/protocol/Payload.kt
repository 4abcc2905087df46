package org.hibiscusproxy.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Bytes inside a message, compared by content. Neither side changes them after construction. */
@Serializable
class Payload(@ByteString val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload(${bytes.size} bytes)"

    companion object {
        /** A payload without bytes. */
        val EMPTY: Payload = Payload(ByteArray(0))

        /** UTF-8 bytes of [text]. */
        fun of(text: String): Payload = Payload(text.encodeToByteArray())
    }
}
