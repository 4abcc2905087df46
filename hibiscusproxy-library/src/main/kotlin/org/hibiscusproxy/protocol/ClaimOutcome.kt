package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName

/** A target's complete answer to a non-repeatable request, kept for resends. */
@Serializable
data class StoredAnswer(
    @SerialName("s") val status: Int,
    @SerialName("h") val headers: List<Header>,
    @SerialName("b") val body: Payload,
)

/** What a claim request led to. */
@Serializable
sealed class ClaimOutcome {
    /** The attempt may be dispatched, by the claiming entry only. */
    @Serializable
    @SerialName("g")
    data class Granted(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** Another attempt holds the claim and its deadline has not passed. */
    @Serializable
    @SerialName("p")
    data class InProgress(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** The request ran and this was the answer. */
    @Serializable
    @SerialName("c")
    data class Completed(@SerialName("s") val answer: StoredAnswer) : ClaimOutcome()

    /** The claimed attempt's deadline passed without an answer. It is not run again. */
    @Serializable
    @SerialName("u")
    data object OutcomeUnknown : ClaimOutcome()

    /** The key was used before with other content. */
    @Serializable
    @SerialName("m")
    data object ContentMismatch : ClaimOutcome()

    /** The request ran; its answer of [bytes] bytes was over the limit and is not kept. */
    @Serializable
    @SerialName("l")
    data class AnswerNotStored(@SerialName("s") val status: Int, @SerialName("b") val bytes: Int) :
        ClaimOutcome()

    /** The attempt number was used before, or the key has used up its attempts; nothing runs. */
    @Serializable
    @SerialName("x")
    data class AttemptRefused(@SerialName("a") val attempt: Attempt) : ClaimOutcome()

    /** This controller cannot decide; nothing was claimed unless the request is resent. */
    @Serializable
    @SerialName("r")
    data class Refused(
        @SerialName("r") val reason: ControlRefusal,
        @SerialName("l") val leader: ProcessName? = null,
    ) : ClaimOutcome()
}
