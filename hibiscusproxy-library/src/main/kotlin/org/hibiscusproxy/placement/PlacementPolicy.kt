package org.hibiscusproxy.placement

import kotlin.time.Duration
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport

/** Orders the candidate targets of a request by preference. */
interface PlacementPolicy {
    /**
     * @param key hash of the part of the prompt that is the same in all turns of a chat
     * @param candidates targets that may serve the request, in any order
     */
    fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName>
}

/** Hash of the part of a prompt that identifies a reusable prefix in targets' caches. */
@JvmInline
value class PrefixKey(val value: Long)

/**
 * A target that may serve a request.
 *
 * @property load latest known load, or null if unknown
 * @property distance one-way network delay from the entry's data centre
 */
data class PlacementCandidate(val target: Target, val load: LoadReport?, val distance: Duration)
