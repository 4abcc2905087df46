package org.hibiscusproxy.consensus

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.ProcessName

/**
 * Settings of one replica.
 *
 * @property name this replica's name
 * @property bootstrap names of the initial voters, the same list on all of them; a replica that is
 * added to a running cluster may list any of its members here and announces itself to them
 * @property mayFound whether this replica may create a cluster; false for one that joins or rejoins
 * @property electionTimeout minimum time without contact with a leader before an election; the
 * actual timeout is random, between one and two times this value
 * @property maximumBatchBytes maximum size of the entries in one message; a single larger entry is
 * still sent
 * @property snapshotEntries number of applied entries after which the next snapshot is taken
 * @property snapshotBytes size of applied entries after which the next snapshot is taken, unless the
 * last snapshot is larger: then its size, so that writing snapshots costs no more than the log
 * @property trailingEntries maximum number of entries retained behind a snapshot so that a slow peer
 * needs no snapshot
 * @property trailingBytes maximum size of these entries
 * @property toleratedLosses number of disks that may be lost together without losing a committed
 * entry; must be 0 unless a name never denotes two running processes, since an identity then counts
 * as lost once its name is used with another one
 * @property maximumEntryBytes size above which a command is refused
 * @property maximumPendingBytes size of the entries that are not committed above which commands are
 * refused, unless there is none
 * @property promotionLagEntries maximum number of entries that a non-voter may lack when promoted
 */
data class ReplicatedLogSettings(
    val name: ProcessName,
    val bootstrap: List<ProcessName>,
    val mayFound: Boolean = true,
    val heartbeatInterval: Duration = 150.milliseconds,
    val electionTimeout: Duration = 600.milliseconds,
    val maximumBatchBytes: Int = 256 * 1024,
    val snapshotChunkBytes: Int = 256 * 1024,
    val snapshotEntries: Int = 10_000,
    val snapshotBytes: Long = 4L * 1024 * 1024,
    val trailingEntries: Int = 500,
    val trailingBytes: Long = 2L * 1024 * 1024,
    val maximumEntryBytes: Int = 4 * 1024 * 1024,
    val maximumPendingBytes: Long = 8L * 1024 * 1024,
    val promotionLagEntries: Int = 64,
    val toleratedLosses: Int = 0,
) {
    init {
        require(heartbeatInterval.isPositive()) {
            "heartbeatInterval must be positive: $heartbeatInterval"
        }
        require(electionTimeout >= heartbeatInterval * 2) {
            "electionTimeout must be at least twice heartbeatInterval ($heartbeatInterval): " +
                "$electionTimeout"
        }
        require(maximumBatchBytes > 0) { "maximumBatchBytes must be positive: $maximumBatchBytes" }
        require(snapshotChunkBytes > 0) {
            "snapshotChunkBytes must be positive: $snapshotChunkBytes"
        }
        require(snapshotEntries > 0) { "snapshotEntries must be positive: $snapshotEntries" }
        require(snapshotBytes > 0) { "snapshotBytes must be positive: $snapshotBytes" }
        require(trailingEntries >= 0) {
            "trailingEntries must not be negative: $trailingEntries"
        }
        require(trailingBytes >= 0) { "trailingBytes must not be negative: $trailingBytes" }
        require(maximumEntryBytes > 0) { "maximumEntryBytes must be positive: $maximumEntryBytes" }
        require(maximumPendingBytes > 0) {
            "maximumPendingBytes must be positive: $maximumPendingBytes"
        }
        require(promotionLagEntries >= 0) {
            "promotionLagEntries must not be negative: $promotionLagEntries"
        }
        require(toleratedLosses >= 0) { "toleratedLosses must not be negative: $toleratedLosses" }
        require(bootstrap.distinct().size == bootstrap.size) {
            "bootstrap names a process twice: $bootstrap"
        }
    }
}
