package org.hibiscusproxy.consensus

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a replica must not forget, besides its log. [committed] may lag: it only lets a restarted
 * replica apply what it knew to be committed before a leader tells it.
 *
 * @property identity drawn at random when the storage was created; a new disk has a new one
 * @property cluster the cluster this identity belongs to for ever, 0 while it belongs to none
 * @property term highest term seen
 * @property vote identity voted for in [term], 0 if none
 * @property committed index up to which the log was known to be committed
 */
@Serializable
data class HardState(
    @SerialName("i") val identity: Long,
    @SerialName("c") val cluster: Long = NO_IDENTITY,
    @SerialName("t") val term: Long = 0,
    @SerialName("v") val vote: Long = NO_IDENTITY,
    @SerialName("k") val committed: Long = 0,
)
