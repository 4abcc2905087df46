package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.hibiscusproxy.protocol.Payload

/**
 * State that covers everything up to the entry at [index] of [term].
 *
 * @property membership the membership as of [index]
 * @property state what the state machine encoded
 */
@Serializable
data class Snapshot(
    @SerialName("i") val index: Long,
    @SerialName("t") val term: Long,
    @SerialName("m") val membership: Membership,
    @SerialName("s") val state: Payload,
) {
    /**
     * Whether [entries], a stored log, go on where this ends. They do not if a crash came between
     * the writing of this snapshot and the deletion of a log that conflicts with it.
     */
    internal fun isContinuedBy(entries: List<LogEntry>): Boolean {
        val first = entries.firstOrNull() ?: return false
        if (first.index == index + 1) return true
        return entries.any { it.index == index && it.term == term }
    }

    internal fun encode(): ByteArray = CONSENSUS_CBOR.encodeToByteArray(this)

    internal companion object {
        /** Reads a snapshot, or returns null if [bytes] hold none. */
        fun decode(bytes: ByteArray): Snapshot? = try {
            CONSENSUS_CBOR.decodeFromByteArray<Snapshot>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
