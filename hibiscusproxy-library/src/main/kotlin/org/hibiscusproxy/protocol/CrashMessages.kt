package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.TargetName

/**
 * A target that ended while it answered, as seen by one entry.
 *
 * @property ageMilliseconds time since it ended
 * @property suspects requests that it had just begun to answer, each with its fingerprints, that of
 *   the whole request as the last
 */
@Serializable
data class ObservedCrash(
    @SerialName("t") val target: TargetName,
    @SerialName("a") val ageMilliseconds: Long,
    @SerialName("f") val suspects: List<Set<Fingerprint>>,
)

/**
 * An answer to a request with [fingerprint] whose target did not end when it began the answer.
 *
 * @property ageMilliseconds time since the answer began
 */
@Serializable
data class SurvivedAnswer(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("a") val ageMilliseconds: Long,
)

/** Tells controllers what a forwarder saw since its last report to them, or since its start. */
@Serializable
@SerialName("xr")
data class CrashEvidence(
    @SerialName("c") val crashes: List<ObservedCrash>,
    @SerialName("s") val survivedAnswers: List<SurvivedAnswer>,
) : ControlMessage()

/**
 * A fingerprint that targets ended with.
 *
 * @property ageMilliseconds time since the first of these crashes
 */
@Serializable
data class Suspect(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("a") val ageMilliseconds: Long,
)

/** All present suspects. Forwarders report answers with them that begun after the first crash. */
@Serializable
@SerialName("xs")
data class CrashSuspects(@SerialName("f") val suspects: List<Suspect>) : ControlMessage()

/**
 * Requests that have all [fingerprints] are refused for [remainingMilliseconds].
 *
 * @property trialMilliseconds time after that in which each forwarder sends on one such request at a
 *   time. If both times are 0, an earlier refusal with a trial is lifted
 */
@Serializable
data class Refusal(
    @SerialName("f") val fingerprints: Set<Fingerprint>,
    @SerialName("m") val remainingMilliseconds: Long,
    @SerialName("t") val trialMilliseconds: Long = 0,
)

/** All requests that are refused, because they crash targets, or may be sent on one at a time. */
@Serializable
@SerialName("xl")
data class RefusalList(@SerialName("f") val refusals: List<Refusal>) : ControlMessage()
