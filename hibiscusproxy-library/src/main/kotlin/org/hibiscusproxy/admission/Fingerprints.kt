package org.hibiscusproxy.admission

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Fingerprint

/** Computes request fingerprints, which are equal for equal content from any caller. */
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
}
