package org.hibiscusproxy.protocol

import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName

/** Identifies one caller's request over all processes and attempts. */
@JvmInline
@Serializable
value class RequestIdentifier(val value: String) {
    override fun toString(): String = value
}

/** One try of a request at one target. Numbers count from 1 and are never used again. */
@Serializable
data class Attempt(val request: RequestIdentifier, val number: Int) {
    override fun toString(): String = "$request/$number"
}

/** Hash of a request's content, equal for resends of the same request. */
@JvmInline
@Serializable
value class Fingerprint(val value: Long) {
    override fun toString(): String = value.toULong().toString(radix = 16)
}

/** Start of a process, increasing over its restarts; milliseconds since the epoch. */
@JvmInline
@Serializable
value class Incarnation(val value: Long) {
    override fun toString(): String = value.toString()
}

/** What a non-repeatable call is claimed under. */
@Serializable
data class ClaimKey(val team: TeamName, val service: ServiceName, val idempotencyKey: String)
