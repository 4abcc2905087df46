package org.hibiscusproxy.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Something callers can address by name, served by the targets that name it. */
@Serializable
data class Service(
    val name: ServiceName,
    val kind: ServiceKind,
    /** Largest running load of one target as a multiple of the mean over the service's targets. */
    val loadMultiple: Double = 1.25,
    /** Running requests a target may always have, whatever the mean. */
    val loadFloor: Int = 1,
    /** Time a request may take from arrival to the end of its answer. */
    val deadlineMilliseconds: Long = 120_000,
)

/** What a service is, which decides how its requests are read and whether they may be repeated. */
@Serializable
sealed class ServiceKind {
    /** Chat completions by model engines. Chats may be repeated while no byte was relayed. */
    @Serializable
    @SerialName("chat")
    data class Chat(val models: List<ModelName>) : ServiceKind()

    /**
     * A plain HTTP service.
     *
     * @property nonRepeatableMethods HTTP methods whose calls must run at most once and therefore
     *   need an `Idempotency-Key`
     */
    @Serializable
    @SerialName("plain")
    data class Plain(val nonRepeatableMethods: List<String> = listOf("POST")) : ServiceKind()
}
