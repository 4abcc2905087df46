package org.hibiscusproxy.daemon.forwarding

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against bodies that change on the way and against memory far beyond their size. */
class BodyBufferTest {
    private fun collect(pieces: List<ByteArray>): BodyBuffer = BodyBuffer().apply {
        pieces.forEach { add(Unpooled.wrappedBuffer(it)) }
    }

    @Test
    fun `a body keeps its bytes whatever its pieces`() {
        val random = Random(SEED)
        repeat(ROUNDS) {
            val pieces =
                List(random.nextInt(0, 20)) { random.nextBytes(random.nextInt(0, 100_000)) }
            val body = collect(pieces).finish()
            assertContentEquals(
                pieces.fold(ByteArray(0), ByteArray::plus),
                ByteBufUtil.getBytes(body),
                "seed $SEED",
            )
            body.release()
        }
    }

    @Test
    fun `a large body takes little more memory than its size`() {
        val buffer = collect(List(LARGE / PIECE) { ByteArray(PIECE) })
        assertEquals(LARGE, buffer.size)
        assertTrue(buffer.allocated <= LARGE + MARGIN, "${buffer.allocated} bytes for $LARGE")
    }

    private companion object {
        const val SEED = 1
        const val ROUNDS = 50
        const val LARGE = 4_194_304
        const val PIECE = 1_024

        /** The last piece may be empty but for one byte. */
        const val MARGIN = 65_536
    }
}
