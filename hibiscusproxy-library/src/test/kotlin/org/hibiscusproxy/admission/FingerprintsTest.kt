package org.hibiscusproxy.admission

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import org.hibiscusproxy.model.ServiceName
import org.junit.jupiter.api.Nested

/** Guards against a poison request that is not recognised and a harmless one that is refused. */
class FingerprintsTest {
    private val chat = ServiceName("chat")

    private fun of(service: ServiceName, path: String, body: String) =
        Fingerprints.of(service, "POST", path, body.encodeToByteArray())

    @Nested
    inner class Content {
        @Test
        fun `equal calls match and calls with another service, path or body differ`() {
            val first = of(chat, "/a", "x")

            assertEquals(first, of(chat, "/a", "x"))
            assertNotEquals(first, of(ServiceName("booking"), "/a", "x"))
            assertNotEquals(first, of(chat, "/b", "x"))
            assertNotEquals(first, of(chat, "/a", "y"))
        }
    }
}
