package org.hibiscusproxy.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested

/** Guards against addresses that are misread instead of refused with the offending text. */
class NetworkAddressTest {
    @Nested
    inner class Parsing {
        @Test
        fun `reads an IPv4 number and a port`() {
            assertEquals(NetworkAddress("127.0.0.1", 8080), NetworkAddress.parse("127.0.0.1:8080"))
        }

        @Test
        fun `reads and writes an IPv6 number in brackets`() {
            val address = NetworkAddress.parse("[::1]:8080")

            assertEquals(NetworkAddress("::1", 8080), address)
            assertEquals("[::1]:8080", address.toString())
        }

        @Test
        fun `refuses a missing port and shows the text`() {
            val failure = assertFailsWith<IllegalArgumentException> {
                NetworkAddress.parse("127.0.0.1")
            }

            assertEquals("expected host:port: 127.0.0.1", failure.message)
        }
    }
}
