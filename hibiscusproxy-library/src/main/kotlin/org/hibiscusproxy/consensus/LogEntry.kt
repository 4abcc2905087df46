package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.protocol.Payload

/** One entry of the replicated log. */
@Serializable
data class LogEntry(
    @SerialName("t") val term: Long,
    @SerialName("i") val index: Long,
    @SerialName("c") val content: EntryContent,
) {
    /** Approximate encoded size in bytes, used to bound batches. */
    val approximateBytes: Int
        get() = ENTRY_OVERHEAD_BYTES + content.approximateBytes
}

/** Content of a log entry. */
@Serializable
sealed class EntryContent {
    /** Approximate encoded size in bytes. */
    abstract val approximateBytes: Int

    /** No operation; lets a new leader commit the entries of earlier terms. */
    @Serializable
    @SerialName("n")
    data object NoOperation : EntryContent() {
        override val approximateBytes: Int get() = 0
    }

    /** A command for the state machine. */
    @Serializable
    @SerialName("c")
    data class Command(@SerialName("p") val payload: Payload) : EntryContent() {
        override val approximateBytes: Int get() = payload.bytes.size
    }

    /** A new membership, which takes effect as soon as the entry is in the log. */
    @Serializable
    @SerialName("m")
    data class MembershipEntry(@SerialName("m") val membership: Membership) : EntryContent() {
        override val approximateBytes: Int
            get() = membership.members.size * MEMBER_BYTES
    }
}

private const val ENTRY_OVERHEAD_BYTES = 32
private const val MEMBER_BYTES = 48
