package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.getOrThrow
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.hibiscusproxy.daemon.transport.FleetKey

/** Guards against operator calls that are forged, altered, replayed or sent elsewhere. */
class CallVerifierTest {
    private var now = 1_000_000L
    private val key = key("a fleet key for tests")
    private val verifier = CallVerifier(key, "127.0.0.1:7001") { now }
    private val body = "{}".encodeToByteArray()
    private val call = SignedCall("POST", "/objects?wait=1", now, "nonce", "127.0.0.1:7001")

    private fun key(text: String) =
        FleetKey.of(text.encodeToByteArray()).getOrThrow { IllegalStateException("$it") }

    private fun refusal(
        call: SignedCall = this.call,
        signature: String = call.signature(key, this.body),
        body: ByteArray = this.body,
    ) = verifier.verify(call, signature, body)

    @Test
    fun `accepts a call once`() {
        assertNull(refusal())
        assertEquals(CallRefusal.REPLAYED, refusal())
        now += 29_999
        assertEquals(CallRefusal.REPLAYED, refusal())
        now += 2
        assertEquals(CallRefusal.STALE, refusal())
    }

    @Test
    fun `refuses a signature by another key and altered calls`() {
        val signature = call.signature(key, body)
        val refused = listOf(
            refusal(signature = call.signature(key("another fleet key"), body)),
            refusal(body = "{ }".encodeToByteArray(), signature = signature),
            refusal(call.copy(method = "GET"), signature),
            refusal(call.copy(path = "/objects?wait=2"), signature),
            refusal(call.copy(time = now + 1), signature),
            refusal(call.copy(nonce = "other"), signature),
            refusal(call.copy(address = "127.0.0.1:7002"), signature),
        )

        assertEquals(List(refused.size) { CallRefusal.BAD_SIGNATURE }, refused)
    }

    @Test
    fun `refuses calls made to another controller`() {
        assertEquals(CallRefusal.OTHER_ADDRESS, refusal(call.copy(address = "127.0.0.1:7002")))
    }

    @Test
    fun `refuses calls from before the start, as their nonces are not kept`() {
        assertEquals(CallRefusal.STALE, refusal(call.copy(time = now - 1)))
    }

    @Test
    fun `keeps the nonce of a call with a future time stamp for as long as it is valid`() {
        val ahead = call.copy(time = now + 30_000)
        assertNull(refusal(ahead))
        now += 60_000

        assertEquals(CallRefusal.REPLAYED, refusal(ahead))
    }
}
