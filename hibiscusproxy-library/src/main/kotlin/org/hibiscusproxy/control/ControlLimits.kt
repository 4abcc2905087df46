package org.hibiscusproxy.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Size limits and retention times of the control state. They keep the state and its copy in a
 * snapshot well below the memory of a node. They are part of the state machine: replicas with
 * different limits diverge.
 *
 * @property claimRetention time for which a claim is kept after its last change; a later resend
 *   counts as a new request
 * @property maximumClaims maximum number of claims; further ones are refused as full
 * @property maximumKeyLength maximum length of an idempotency key in characters
 * @property maximumAttemptsPerClaim maximum number of requests with released attempts under one key
 * @property maximumClaimDeadline maximum time until the outcome of a claim counts as unknown
 * @property maximumAnswerBytes maximum size of one stored answer, including headers
 * @property maximumStoredBytes maximum total size of stored answers
 * @property changeRetention time for which a change identifier is kept
 * @property maximumChanges maximum number of change identifiers; the oldest are evicted
 * @property crashRetention time after the last crash of a fingerprint for which its crashes are
 *   kept and it may be refused
 * @property crashesToRefuse number of distinct crashed targets from which a fingerprint is refused
 * @property maximumFingerprints maximum number of fingerprints; the oldest are evicted
 * @property firstRefusal time for which forwarders refuse a request that crashes targets
 * @property longestRefusal maximum of that time, which doubles with each further refusal
 * @property maximumRefusals maximum number of such refusals; the oldest are evicted
 * @property streamRetention longest time for which callers may take up a stream
 * @property maximumStreams maximum number of streams whose version is stored; the oldest are evicted
 */
data class ControlLimits(
    val claimRetention: Duration = 24.hours,
    val maximumClaims: Int = 50_000,
    val maximumKeyLength: Int = 256,
    val maximumAttemptsPerClaim: Int = 64,
    val maximumClaimDeadline: Duration = 1.hours,
    val maximumAnswerBytes: Int = 65_536,
    val maximumStoredBytes: Long = 16_777_216,
    val changeRetention: Duration = 24.hours,
    val maximumChanges: Int = 50_000,
    val crashRetention: Duration = 10.minutes,
    val crashesToRefuse: Int = 2,
    val maximumFingerprints: Int = 10_000,
    val firstRefusal: Duration = 10.minutes,
    val longestRefusal: Duration = 24.hours,
    val maximumRefusals: Int = 1_000,
    val streamRetention: Duration = 2.minutes,
    val maximumStreams: Int = 200_000,
)
