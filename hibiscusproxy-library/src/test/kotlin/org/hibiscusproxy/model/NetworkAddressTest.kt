package org.hibiscusproxy.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested

/** Guards against malformed addresses that are accepted or rejected without the invalid text. */
class NetworkAddressTest {
    @Nested
    inner class Parsing {
        @Test
        fun `parses an IPv4 address and a port`() {
            assertEquals(NetworkAddress("127.0.0.1", 8080), NetworkAddress.parse("127.0.0.1:8080"))
        }

        @Test
        fun `parses and formats an IPv6 address in brackets`() {
            val address = NetworkAddress.parse("[::1]:8080")

            assertEquals(NetworkAddress("::1", 8080), address)
            assertEquals("[::1]:8080", address.toString())
        }

        @Test
        fun `rejects a missing port with the invalid text`() {
            val failure = assertFailsWith<IllegalArgumentException> {
                NetworkAddress.parse("127.0.0.1")
            }

            assertEquals("expected host:port: 127.0.0.1", failure.message)
        }
    }
}
