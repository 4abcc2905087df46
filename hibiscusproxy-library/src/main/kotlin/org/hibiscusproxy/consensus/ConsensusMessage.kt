package org.hibiscusproxy.consensus

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Payload

/**
 * Messages between replicas. Fields are encoded by position, because a leader with four peers sends
 * and receives about 27 heartbeats a second each way and field names would double their size.
 * Requests carry the identity of the receiver, replies that of the sender.
 */
@Serializable
internal sealed class ConsensusMessage {
    fun encode(): Payload = Payload(CONSENSUS_CBOR.encodeToByteArray<ConsensusMessage>(this))

    companion object {
        /** Decodes a message, or returns null if [payload] is invalid. */
        fun decode(payload: Payload): ConsensusMessage? = try {
            CONSENSUS_CBOR.decodeFromByteArray<ConsensusMessage>(payload.bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/**
 * Announces the identity of a replica without a cluster or leader, and asks for the receiver's.
 *
 * @property lost earlier identities of the sender's name
 */
@Serializable
@SerialName("i")
@CborArray
internal data class Announcement(
    val identity: Long,
    val cluster: Long,
    @EncodeDefault val lost: List<Long> = emptyList(),
) : ConsensusMessage()

/**
 * Reply to the announcement of [asker]; [cluster] is 0 if the sender belongs to none. [members] are
 * further processes that the asker may announce itself to, and [listed] is the identity that the
 * sender's membership has for the asker's name, 0 if none.
 */
@Serializable
@SerialName("j")
@CborArray
internal data class AnnouncementReply(
    val asker: Long,
    val identity: Long,
    val cluster: Long,
    @EncodeDefault val members: List<ProcessName> = emptyList(),
    @EncodeDefault val listed: Long = NO_IDENTITY,
) : ConsensusMessage()

/** A new cluster was created with the receiver as a member. */
@Serializable
@SerialName("f")
@CborArray
internal data class ClusterCreated(
    val cluster: Long,
    val receiver: Long,
    val membership: Membership,
) : ConsensusMessage()

/**
 * Requests a vote, or with [isPreVote] asks whether one would be granted. [lost] are the identities
 * that the candidate knows to be lost.
 */
@Serializable
@SerialName("v")
@CborArray
internal data class VoteRequest(
    val cluster: Long,
    val receiver: Long,
    val term: Long,
    val candidate: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val isPreVote: Boolean,
    @EncodeDefault val lost: List<Long> = emptyList(),
) : ConsensusMessage()

/** Reply to a vote request; [term] is the requested term if granted, otherwise the voter's. */
@Serializable
@SerialName("w")
@CborArray
internal data class VoteReply(
    val identity: Long,
    val term: Long,
    val candidate: Long,
    val isGranted: Boolean,
    val isPreVote: Boolean,
) : ConsensusMessage()

/**
 * Asserts the sender's leadership.
 *
 * @property commitIndex the commit index, but at most the receiver's known matching index
 * @property tag [peerTag] of the receiver, in place of two 8-byte identities
 */
@Serializable
@SerialName("h")
@CborArray
internal data class Heartbeat(
    val term: Long,
    val commitIndex: Long,
    val round: Long,
    val tag: Int,
) : ConsensusMessage()

/** Reply to a heartbeat; [term] is the sender's, possibly higher than the leader's. */
@Serializable
@SerialName("k")
@CborArray
internal data class HeartbeatReply(val term: Long, val round: Long, val tag: Int) :
    ConsensusMessage()

/**
 * Entries that follow [previousIndex].
 *
 * @property leader identity of the sender
 * @property lost identities that the sender knows to be lost
 */
@Serializable
@SerialName("a")
@CborArray
internal data class AppendRequest(
    val cluster: Long,
    val receiver: Long,
    val term: Long,
    val round: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val commitIndex: Long,
    val entries: List<LogEntry>,
    @EncodeDefault val leader: Long = NO_IDENTITY,
    @EncodeDefault val lost: List<Long> = emptyList(),
) : ConsensusMessage()

/** Reply to an append; [index] is the last matching index, or after a refusal where to retry. */
@Serializable
@SerialName("b")
@CborArray
internal data class AppendReply(
    val identity: Long,
    val term: Long,
    val round: Long,
    val previousIndex: Long,
    val isAccepted: Boolean,
    val index: Long,
) : ConsensusMessage()

/**
 * Part of an encoded [Snapshot] of [totalBytes] bytes that covers the entries up to [index].
 * [leader] and [lost] are as in [AppendRequest].
 */
@Serializable
@SerialName("s")
@CborArray
internal data class SnapshotChunk(
    val cluster: Long,
    val receiver: Long,
    val term: Long,
    val round: Long,
    val index: Long,
    val totalBytes: Int,
    val offset: Int,
    val content: Payload,
    @EncodeDefault val leader: Long = NO_IDENTITY,
    @EncodeDefault val lost: List<Long> = emptyList(),
) : ConsensusMessage()

/** The sender has received the first [received] bytes of the snapshot at [index]. */
@Serializable
@SerialName("t")
@CborArray
internal data class SnapshotReply(
    val identity: Long,
    val term: Long,
    val round: Long,
    val index: Long,
    val received: Int,
) : ConsensusMessage()

/** The encoding of messages, records and snapshots. */
internal val CONSENSUS_CBOR = Cbor { useDefiniteLengthEncoding = true }

/**
 * Hash that binds a heartbeat to a cluster, term and receiver. Votes and acknowledgements of
 * entries carry full identities; a heartbeat only prolongs a leadership that those have
 * established.
 */
internal fun peerTag(cluster: Long, identity: Long, term: Long): Int {
    var mixed = cluster
    mixed = (mixed xor identity) * TAG_MULTIPLIER
    mixed = (mixed xor (mixed ushr Int.SIZE_BITS) xor term) * TAG_MULTIPLIER
    return (mixed ushr Int.SIZE_BITS).toInt()
}

private const val TAG_MULTIPLIER = -0x61c8864680b583ebL
