package org.hibiscusproxy.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * Host, usually an IP address, and port of a listener, written `127.0.0.1:8080` or `[::1]:8080`.
 *
 * @throws IllegalArgumentException if the host is empty or the port is not in 0..65535
 */
@Serializable(with = NetworkAddress.TextSerializer::class)
data class NetworkAddress(val host: String, val port: Int) {
    init {
        require(host.isNotEmpty()) { "host must not be empty" }
        require(port in 0..MAXIMUM_PORT) { "port must be in 0..$MAXIMUM_PORT: $port" }
    }

    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    internal object TextSerializer : KSerializer<NetworkAddress> {
        override val descriptor: SerialDescriptor =
            PrimitiveSerialDescriptor("NetworkAddress", PrimitiveKind.STRING)

        override fun serialize(encoder: Encoder, value: NetworkAddress) =
            encoder.encodeString(value.toString())

        override fun deserialize(decoder: Decoder): NetworkAddress = parse(decoder.decodeString())
    }

    companion object {
        private const val MAXIMUM_PORT = 65_535

        /**
         * Parses `host:port`.
         *
         * @throws IllegalArgumentException if [text] is malformed; the message contains it
         */
        fun parse(text: String): NetworkAddress {
            val separator = text.lastIndexOf(':')
            require(separator > 0) { "expected host:port: $text" }
            val port = text.substring(separator + 1).toIntOrNull()
            requireNotNull(port) { "expected a port number after the colon: $text" }
            val host = text.substring(0, separator).removePrefix("[").removeSuffix("]")
            return NetworkAddress(host, port)
        }
    }
}
