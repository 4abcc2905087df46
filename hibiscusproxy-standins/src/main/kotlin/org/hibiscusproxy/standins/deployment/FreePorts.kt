package org.hibiscusproxy.standins.deployment

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * A block of free ports for one deployment. Its last port stays bound until [close], so that
 * deployments side by side never share a block.
 */
class FreePorts private constructor(val base: Int, private val reservation: ServerSocket) :
    AutoCloseable {
    override fun close() = reservation.close()

    companion object {
        private const val BLOCK = 400
        private const val TRIES = 100

        // Below the ports that operating systems give to outgoing connections.
        private val BASES = 10_000..31_600 step BLOCK

        /** Takes a block that nobody listens in. */
        fun take(): FreePorts {
            repeat(TRIES) {
                val base = BASES.toList().random(Random.Default)
                val reservation = bind(base + BLOCK - 1) ?: return@repeat
                if ((base until base + BLOCK - 1).all(::isFree)) return FreePorts(base, reservation)
                reservation.close()
            }
            error("no block of $BLOCK free ports after $TRIES tries")
        }

        private fun isFree(port: Int): Boolean = bind(port)?.close() != null

        private fun bind(port: Int): ServerSocket? = try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress())
        } catch (_: IOException) {
            null
        }
    }
}
