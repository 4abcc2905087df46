package org.hibiscusproxy.standins.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * A block of free ports for one deployment. Its last port stays bound until [close], so that
 * concurrent deployments never share a block.
 */
class PortBlock private constructor(val base: Int, private val reservation: ServerSocket) :
    AutoCloseable {
    override fun close() = reservation.close()

    companion object {
        private const val PORTS_PER_BLOCK = 400
        private const val MAXIMUM_ATTEMPTS = 100

        // Below the range from which operating systems assign ports to outgoing connections.
        private val BASES = 10_000..31_600 step PORTS_PER_BLOCK

        /** Reserves a random block without listeners. */
        fun reserve(): PortBlock {
            repeat(MAXIMUM_ATTEMPTS) {
                val base = BASES.toList().random(Random.Default)
                val reservation = bind(base + PORTS_PER_BLOCK - 1) ?: return@repeat
                if ((base until base + PORTS_PER_BLOCK - 1).all(::isFree)) {
                    return PortBlock(base, reservation)
                }
                reservation.close()
            }
            error("found no block of $PORTS_PER_BLOCK free ports in $MAXIMUM_ATTEMPTS attempts")
        }

        private fun isFree(port: Int): Boolean = bind(port)?.close() != null

        private fun bind(port: Int): ServerSocket? = try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress())
        } catch (_: IOException) {
            null
        }
    }
}
