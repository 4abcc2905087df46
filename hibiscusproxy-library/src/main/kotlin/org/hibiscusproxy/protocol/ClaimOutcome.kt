package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName

/** A target's complete response to a non-repeatable request, stored to answer resends. */
@Serializable
data class StoredAnswer(
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
    @SerialName("b") val body: Payload,
)

/** Outcome of a claim request. */
@Serializable
sealed class ClaimOutcome {
    /** The attempt may be dispatched, but only by the entry that claimed it. */
    @Serializable
    @SerialName("g")
    data class Granted(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** Another attempt holds the claim and its deadline has not passed. */
    @Serializable
    @SerialName("p")
    data class InProgress(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** The request ran with this response. */
    @Serializable
    @SerialName("c")
    data class Completed(@SerialName("s") val answer: StoredAnswer) : ClaimOutcome()

    /** The claimed attempt's deadline passed without a response. The request is not run again. */
    @Serializable
    @SerialName("u")
    data object OutcomeUnknown : ClaimOutcome()

    /** The key was already used for a request with different content. */
    @Serializable
    @SerialName("m")
    data object ContentMismatch : ClaimOutcome()

    /** The request ran; its response of [bytes] bytes exceeded the limit and was not stored. */
    @Serializable
    @SerialName("l")
    data class AnswerNotStored(@SerialName("s") val status: Int, @SerialName("b") val bytes: Int) :
        ClaimOutcome()

    /** The attempt number was already used, or the key has no attempts left; nothing is run. */
    @Serializable
    @SerialName("x")
    data class AttemptRefused(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** This controller cannot decide; nothing is claimed unless the request is resent. */
    @Serializable
    @SerialName("r")
    data class Refused(
        @SerialName("r") val reason: ControlRefusal,
        @SerialName("l") val leader: ProcessName? = null,
    ) : ClaimOutcome()
}
