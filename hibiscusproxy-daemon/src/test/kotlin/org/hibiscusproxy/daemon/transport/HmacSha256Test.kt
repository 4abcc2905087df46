package org.hibiscusproxy.daemon.transport

import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals

class HmacSha256Test {
    private fun code(key: ByteArray, input: ByteArray): ByteArray =
        HmacSha256(key).apply { update(input) }.finish()

    @Test
    fun `agrees with the vectors of RFC 4231`() {
        fun hex(bytes: ByteArray) = HexFormat.of().formatHex(bytes)
        assertEquals(
            "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7",
            hex(code(ByteArray(20) { 0x0b }, "Hi There".encodeToByteArray())),
        )
        assertEquals(
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
            hex(
                code(
                    "Jefe".encodeToByteArray(),
                    "what do ya want for nothing?".encodeToByteArray(),
                ),
            ),
        )
        assertEquals(
            "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54",
            hex(
                code(
                    ByteArray(131) { 0xaa.toByte() },
                    "Test Using Larger Than Block-Size Key - Hash Key First".encodeToByteArray(),
                ),
            ),
        )
    }

    @Test
    fun `agrees with the implementation of the platform`() {
        val random = Random(1)
        repeat(200) {
            val key = random.nextBytes(random.nextInt(1, 200))
            val input = random.nextBytes(random.nextInt(0, 500))
            val mac = Mac.getInstance("HmacSHA256").apply { init(SecretKeySpec(key, "HmacSHA256")) }
            assertContentEquals(mac.doFinal(input), code(key, input))
        }
    }

    @Test
    fun `starts again after each code`() {
        val hmac = HmacSha256(ByteArray(16) { it.toByte() })
        val codes = List(2) {
            hmac.update(1)
            hmac.update(byteArrayOf(2, 3))
            hmac.finish()
        }
        assertContentEquals(codes[0], codes[1])
        assertContentEquals(codes[0], code(ByteArray(16) { it.toByte() }, byteArrayOf(1, 2, 3)))
    }
}
