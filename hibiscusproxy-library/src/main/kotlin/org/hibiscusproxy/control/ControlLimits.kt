package org.hibiscusproxy.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Bounds of the control state. They keep it, with the copy that a snapshot needs, well below the
 * memory of a node. They are part of the state machine: all replicas must use the same
 * ones, or their states differ.
 *
 * @property claimRetention time for which a claim is remembered after its last change; a resend
 *   after that time counts as a new request
 * @property maximumClaims claims remembered at once; further ones are refused as full
 * @property maximumKeyLength characters of an idempotency key
 * @property maximumAttemptsPerClaim requests whose attempts were released under one key
 * @property maximumClaimDeadline cap on the time until a claim counts as unknown
 * @property maximumAnswerBytes size of one stored answer, headers included
 * @property maximumStoredBytes size of all stored answers together
 * @property changeRetention time for which a change identifier is remembered
 * @property maximumChanges change identifiers remembered at once; the oldest make room
 * @property crashMemory time for which a crash counts, and a fingerprint is refused after the last
 * @property crashesToRefuse distinct targets that must crash before a fingerprint is refused
 * @property maximumFingerprints fingerprints remembered at once; the oldest make room
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
    val crashMemory: Duration = 10.minutes,
    val crashesToRefuse: Int = 2,
    val maximumFingerprints: Int = 10_000,
)
