package org.hibiscusproxy.protocol

import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/** Identifies one caller's request across all processes and attempts. */
@JvmInline
@Serializable
value class RequestIdentifier(val value: String) {
    override fun toString(): String = value
}

/** One attempt to run a request at one target. Numbers start at 1 and are never reused. */
@Serializable
data class Attempt(val request: RequestIdentifier, val number: Int) {
    override fun toString(): String = "$request/$number"
}

/**
 * Hash of a request's content, the same for each resend of the request, or of a part of a prompt,
 * the same for each prompt with that part.
 */
@JvmInline
@Serializable
value class Fingerprint(val value: Long) {
    override fun toString(): String = value.toULong().toString(radix = 16)
}

/** Start time of a process in milliseconds since the epoch; increases with each restart. */
@JvmInline
@Serializable
value class Incarnation(val value: Long) {
    override fun toString(): String = value.toString()
}

/** Key under which a non-repeatable request is claimed. */
@Serializable
data class ClaimKey(val team: TeamName, val service: ServiceName, val idempotencyKey: String)
