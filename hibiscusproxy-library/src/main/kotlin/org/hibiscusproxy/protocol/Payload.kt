package org.hibiscusproxy.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Bytes in a message, compared by content. Must not be modified after construction. */
@Serializable
class Payload(@ByteString val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload(${bytes.size} bytes)"

    companion object {
        /** The empty payload. */
        val EMPTY: Payload = Payload(ByteArray(0))

        /** Encodes [text] as UTF-8. */
        fun of(text: String): Payload = Payload(text.encodeToByteArray())
    }
}
