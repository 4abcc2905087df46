package org.hibiscusproxy.admission

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Fingerprint

/** Computes fingerprints of requests and of parts of prompts, which are equal for equal content. */
object Fingerprints {
    /**
     * Returns the fingerprint of a call. It leaves out the team, because a request that crashes
     * targets does so for any caller, and the headers, because they change between retries.
     */
    fun of(service: ServiceName, method: String, path: String, body: ByteArray): Fingerprint {
        var hash = Hashing.of(service.value)
        hash = Hashing.of(method, hash)
        hash = Hashing.of(path, hash)
        return Fingerprint(Hashing.of(body, hash))
    }

    /** Returns the fingerprint of a call by [team] to any service that its path leads to. */
    fun of(team: TeamName?, method: String, path: String, body: ByteArray): Fingerprint {
        var hash = Hashing.of(team?.value.orEmpty())
        hash = Hashing.of(method, hash)
        hash = Hashing.of(path, hash)
        return Fingerprint(Hashing.of(body, hash))
    }

    /** Returns the fingerprint of all prompts with the part [identifier], whatever else they hold. */
    fun ofPromptPart(identifier: String): Fingerprint =
        Fingerprint(Hashing.of(identifier, PROMPT_PART_SEED))

    /** Returns the fingerprint of the stream that began in the request [identifier] of [team]. */
    fun ofStream(team: TeamName?, identifier: String): Fingerprint =
        Fingerprint(Hashing.of(identifier, Hashing.of(team?.value.orEmpty(), STREAM_SEED)))

    private const val STREAM_SEED = 0x73747265616dL
    private const val PROMPT_PART_SEED = 0x70726f6d7074L
}
