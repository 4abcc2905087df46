package org.hibiscusproxy.admission

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Fingerprint

/** Fingerprints of requests, equal when anybody sends the same content again. */
object Fingerprints {
    /**
     * Fingerprint of a call. The team is left out, because a request that crashes targets does so
     * whoever sends it; headers are left out, because resends change them.
     */
    fun of(service: ServiceName, method: String, path: String, body: ByteArray): Fingerprint {
        var hash = Hashing.of(service.value)
        hash = Hashing.of(method, hash)
        hash = Hashing.of(path, hash)
        return Fingerprint(Hashing.of(body, hash))
    }
}
