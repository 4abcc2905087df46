package org.hibiscusproxy.admission

import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.placement.Hashing
import org.hibiscusproxy.protocol.Fingerprint

/** Fingerprints of requests, equal when a caller sends the same content again. */
object Fingerprints {
    /** Fingerprint of a call; headers are left out, because resends change them. */
    fun of(
        team: TeamName,
        service: ServiceName,
        method: String,
        path: String,
        body: ByteArray,
    ): Fingerprint {
        var hash = Hashing.of(team.value)
        hash = Hashing.of(service.value, hash)
        hash = Hashing.of(method, hash)
        hash = Hashing.of(path, hash)
        return Fingerprint(Hashing.of(body, hash))
    }
}
