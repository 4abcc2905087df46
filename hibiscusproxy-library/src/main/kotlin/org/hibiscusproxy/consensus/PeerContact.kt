package org.hibiscusproxy.consensus

import kotlin.time.Duration
import org.hibiscusproxy.model.ProcessName

/**
 * What a leader knows about another member.
 *
 * @property silence time since the member was sent the latest round that it answered; null if it
 *   has answered none
 * @property outstanding time since the unanswered request was sent; null if there is none
 * @property resentRequests requests that were sent again during this term, since no answer came
 * @property resentBytes encoded size of those requests
 */
data class PeerContact(
    val process: ProcessName,
    val silence: Duration?,
    val outstanding: Duration?,
    val resentRequests: Int,
    val resentBytes: Long,
)
