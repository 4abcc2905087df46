package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.model.ServiceName

/**
 * Streams whose first event came from [origin].
 *
 * @property lifetimeSeconds time for which callers may still take them up
 */
@Serializable
data class StreamGroup(
    @SerialName("o") val origin: ServiceVersion,
    @SerialName("l") val lifetimeSeconds: Int,
    @SerialName("k") val streams: List<Fingerprint>,
)

/** Streams that began at a forwarder. */
@Serializable
@SerialName("sb")
data class StreamsBegun(@SerialName("g") val groups: List<StreamGroup>) : ControlMessage()

/**
 * Asks all controllers which version began [stream], whose caller takes it up.
 *
 * @property number matches the answers to the query
 * @property stream null if the caller does not name the stream
 * @property service service that the route of the take-up leads to
 */
@Serializable
@SerialName("sq")
data class StreamQuery(
    @SerialName("n") val number: Long,
    @SerialName("k") val stream: Fingerprint?,
    @SerialName("s") val service: ServiceName,
) : ControlMessage()

/** Answer to the query with the same number; [origin] is null if no controller can know it. */
@Serializable
@SerialName("sa")
data class StreamAnswer(
    @SerialName("n") val number: Long,
    @SerialName("o") val origin: ServiceVersion?,
) : ControlMessage()
