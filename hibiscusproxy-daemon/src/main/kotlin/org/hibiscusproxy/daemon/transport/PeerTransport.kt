package org.hibiscusproxy.daemon.transport

import com.github.michaelbull.result.Result
import org.hibiscusproxy.model.NetworkAddress

/** Opens and accepts connections between processes of the fleet. */
interface PeerTransport {
    /** Connects to [address] and completes the handshake. */
    suspend fun connect(address: NetworkAddress): Result<PeerConnection, ConnectFailure>

    /**
     * Listens at [address] and runs [handle] in a separate coroutine for each authenticated
     * connection, until the returned listener is closed. The connection is closed when [handle]
     * returns.
     */
    suspend fun listen(
        address: NetworkAddress,
        handle: suspend (PeerConnection) -> Unit,
    ): AutoCloseable
}
