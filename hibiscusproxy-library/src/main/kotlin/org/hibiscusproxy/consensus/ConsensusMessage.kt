package org.hibiscusproxy.consensus

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
 * What replicas say to each other. Fields are encoded by position, since a leader of four peers
 * sends and receives about 27 heartbeats a second each way and field names would double them.
 * Requests name the identity they are meant for, replies the identity they come from.
 */
@Serializable
internal sealed class ConsensusMessage {
    fun encode(): Payload = Payload(CONSENSUS_CBOR.encodeToByteArray<ConsensusMessage>(this))

    companion object {
        /** Reads a message, or returns null if [payload] is none. */
        fun decode(payload: Payload): ConsensusMessage? = try {
            CONSENSUS_CBOR.decodeFromByteArray<ConsensusMessage>(payload.bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/** A replica without a cluster tells its identity and asks for the receiver's. */
@Serializable
@SerialName("i")
@CborArray
internal data class Introduction(val identity: Long, val cluster: Long) : ConsensusMessage()

/**
 * Answer to the introduction of [asker]; [cluster] is 0 if the sender belongs to none. [members]
 * are the others to whom the asker may introduce itself.
 */
@Serializable
@SerialName("j")
@CborArray
internal data class IntroductionReply(
    val asker: Long,
    val identity: Long,
    val cluster: Long,
    val members: List<ProcessName> = emptyList(),
) : ConsensusMessage()

/** A new cluster was founded with the receiver as a member. */
@Serializable
@SerialName("f")
@CborArray
internal data class Founding(val cluster: Long, val receiver: Long, val membership: Membership) :
    ConsensusMessage()

/** Asks for a vote, or whether one would be given if [isPreVote]. */
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
) : ConsensusMessage()

/** Answer to a vote request; [term] is the requested one if granted, else the voter's. */
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
 * Keeps a leader in office.
 *
 * @property commitIndex committed index, at most what the receiver is known to hold
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

/** Answer to a heartbeat; [term] is the sender's, possibly higher than the leader's. */
@Serializable
@SerialName("k")
@CborArray
internal data class HeartbeatReply(val term: Long, val round: Long, val tag: Int) :
    ConsensusMessage()

/** Entries that follow [previousIndex]. */
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
) : ConsensusMessage()

/** Answer to an append; [index] is the last matching index, or a hint where to try next. */
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

/** Part of an encoded [Snapshot] of [totalBytes] that covers everything up to [index]. */
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
) : ConsensusMessage()

/** The sender has the first [received] bytes of the snapshot at [index]. */
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
 * Short tag that binds a heartbeat to a cluster, term and receiver. Votes and acknowledgements of
 * entries carry whole identities; a heartbeat only extends what those have established.
 */
internal fun peerTag(cluster: Long, identity: Long, term: Long): Int {
    var mixed = cluster
    mixed = (mixed xor identity) * TAG_MULTIPLIER
    mixed = (mixed xor (mixed ushr Int.SIZE_BITS) xor term) * TAG_MULTIPLIER
    return (mixed ushr Int.SIZE_BITS).toInt()
}

private const val TAG_MULTIPLIER = -0x61c8864680b583ebL
