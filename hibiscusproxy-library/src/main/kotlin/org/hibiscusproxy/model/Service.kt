package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A service that callers address by name, served by the targets that refer to it. */
@Serializable
data class Service(
    val name: ServiceName,
    val kind: ServiceKind,
    /** Maximum running load of a target as a multiple of the mean over the service's targets. */
    val loadMultiple: Double = 1.25,
    /** Number of running requests that a target may always have, regardless of the mean. */
    val loadFloor: Int = 1,
    /** Maximum time from the arrival of a request to the end of its answer. */
    val deadlineMilliseconds: Long = 120_000,
)

/** Kind of a service; determines how requests are parsed and whether they may be retried. */
@Serializable
sealed class ServiceKind {
    /** Chat completions by model engines. A chat may be retried until its first byte is relayed. */
    @Serializable
    @SerialName("chat")
    data class Chat(val models: List<ModelName>) : ServiceKind()

    /**
     * A plain HTTP service.
     *
     * @property nonRepeatableMethods HTTP methods whose calls must run at most once and therefore
     *   require an `Idempotency-Key`
     */
    @Serializable
    @SerialName("plain")
    data class Plain(val nonRepeatableMethods: List<String> = listOf("POST")) : ServiceKind()
}
