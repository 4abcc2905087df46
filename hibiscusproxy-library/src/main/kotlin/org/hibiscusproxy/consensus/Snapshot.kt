package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.hibiscusproxy.protocol.Payload

/**
 * Snapshot of the state machine and the membership, up to the entry at [index] of [term].
 *
 * @property membership the membership as of [index]
 * @property state the state, as encoded by the state machine
 */
@Serializable
data class Snapshot(
    @SerialName("i") val index: Long,
    @SerialName("t") val term: Long,
    @SerialName("m") val membership: Membership,
    @SerialName("s") val state: Payload,
) {
    /**
     * Whether the stored log [entries] continues this snapshot. It does not if the process crashed
     * after writing the snapshot and before deleting a log that conflicts with it.
     */
    internal fun isContinuedBy(entries: List<LogEntry>): Boolean {
        val first = entries.firstOrNull() ?: return false
        if (first.index == index + 1) return true
        return entries.any { it.index == index && it.term == term }
    }

    internal fun encode(): ByteArray = CONSENSUS_CBOR.encodeToByteArray(this)

    internal companion object {
        /** Decodes a snapshot, or returns null if [bytes] are invalid. */
        fun decode(bytes: ByteArray): Snapshot? = try {
            CONSENSUS_CBOR.decodeFromByteArray<Snapshot>(bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
