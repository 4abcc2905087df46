package org.hibiscusproxy.placement

import kotlin.time.Duration
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.LoadReport

/** Orders the eligible targets of a request from the first to try to the last. */
interface PlacementPolicy {
    /**
     * @param key hash of the part of the prompt that returning chats share
     * @param candidates targets that may serve the request, in any order
     */
    fun rank(key: PrefixKey, candidates: List<PlacementCandidate>): List<TargetName>
}

/** Hash of the part of a prompt that is worth finding in a target's cache again. */
@JvmInline
value class PrefixKey(val value: Long)

/**
 * A target that may serve a request.
 *
 * @property load newest load known of it, or null
 * @property distance one-way network delay from the entry's data centre
 */
data class PlacementCandidate(val target: Target, val load: LoadReport?, val distance: Duration)
