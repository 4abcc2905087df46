package org.hibiscusproxy.rollout

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.TargetName

/**
 * Answers that one forwarder got on one route since it learned of a rollout. The counts are
 * cumulative, so that a report may be lost or repeated.
 *
 * @property rollout number of the rollout
 * @property target target of the version under trial that answered; null for all targets of other
 * versions together
 * @property answers complete answers
 * @property failures answers with a server error, broken connections and timeouts, while the
 * target may have run the request
 * @property times number of complete answers by time, in the classes of [AnswerTimes]
 */
@Serializable
data class VersionEvidence(
    @SerialName("n") val rollout: Long,
    @SerialName("r") val route: String,
    @SerialName("t") val target: TargetName?,
    @SerialName("a") val answers: Int,
    @SerialName("f") val failures: Int,
    @SerialName("h") val times: List<Int> = emptyList(),
)
