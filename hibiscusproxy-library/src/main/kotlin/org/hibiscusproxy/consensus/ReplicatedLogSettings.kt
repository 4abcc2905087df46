package org.hibiscusproxy.consensus

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.model.ProcessName

/**
 * Settings of one replica.
 *
 * @property name this replica's name
 * @property bootstrap names of the first voters, the same list on all of them; a replica that is
 * added to a running cluster may name any of its members here and introduces itself to them
 * @property mayFound whether this replica may found a cluster; false for one that joins or rejoins
 * @property electionTimeout shortest silence of a leader that leads to an election; the actual one
 * is drawn between this and twice this
 * @property maximumBatchBytes bound of the entries in one message, except that one entry always fits
 * @property snapshotEntries number of entries applied since the last snapshot that leads to the next
 * @property snapshotBytes size of those entries that leads to the next snapshot earlier
 * @property trailingEntries entries kept behind a snapshot so that a slow peer needs no snapshot
 * @property promotionLagEntries entries that a non-voter may lack when it is promoted
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
    val snapshotBytes: Long = 16L * 1024 * 1024,
    val trailingEntries: Int = 500,
    val promotionLagEntries: Int = 64,
) {
    init {
        require(heartbeatInterval.isPositive()) { "heartbeatInterval: $heartbeatInterval" }
        require(electionTimeout >= heartbeatInterval * 2) { "electionTimeout: $electionTimeout" }
        require(maximumBatchBytes > 0) { "maximumBatchBytes: $maximumBatchBytes" }
        require(snapshotChunkBytes > 0) { "snapshotChunkBytes: $snapshotChunkBytes" }
        require(snapshotEntries > 0) { "snapshotEntries: $snapshotEntries" }
        require(snapshotBytes > 0) { "snapshotBytes: $snapshotBytes" }
        require(trailingEntries >= 0) { "trailingEntries: $trailingEntries" }
        require(promotionLagEntries >= 0) { "promotionLagEntries: $promotionLagEntries" }
        require(bootstrap.distinct().size == bootstrap.size) { "bootstrap: $bootstrap" }
    }
}
