package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Persistent state of a replica besides its log. [committed] may lag behind the commit index: it
 * only lets a restarted replica apply entries that it knew to be committed before it has contact
 * with a leader.
 *
 * @property identity random number generated when the storage was created; a new disk gets a new
 * one
 * @property cluster the cluster that this identity belongs to, 0 if none; never changes once set
 * @property term highest term seen
 * @property vote identity voted for in [term], 0 if none
 * @property committed index up to which the log was known to be committed
 * @property lost identities known to have lost their disks, the latest last
 */
@Serializable
data class HardState(
    @SerialName("i") val identity: Long,
    @SerialName("c") val cluster: Long = NO_IDENTITY,
    @SerialName("t") val term: Long = 0,
    @SerialName("v") val vote: Long = NO_IDENTITY,
    @SerialName("k") val committed: Long = 0,
    @SerialName("l") val lost: List<Long> = emptyList(),
)
