package org.hibiscusproxy.daemon.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.junit.jupiter.api.Nested

/** Guards against invalid settings that are accepted, and faults that are reported one by one. */
class SettingsReaderTest {
    @Nested
    inner class Reading {
        @Test
        fun `accepts comments and applies defaults`() {
            val settings = SettingsReader.parse(
                """
                {
                  // The first entry.
                  "name": "lj-entry-1", "dataCenter": "lj-1",
                  "administration": "127.0.0.1:7901", "fleetKeyFile": "fleet.key",
                  "controllers": [{"name": "c1", "address": "127.0.0.1:7301"}],
                  "entry": {"listen": "127.0.0.1:8080"},
                }
                """.trimIndent(),
            ).getOrThrow { AssertionError(it.toString()) }

            assertEquals(ProcessName("lj-entry-1"), settings.name)
            assertEquals(EntrySettings(NetworkAddress("127.0.0.1", 8080)), settings.entry)
            assertEquals(60, settings.shutdownSeconds)
        }
    }

    @Nested
    inner class Refusing {
        @Test
        fun `reports all faults of one file at once`() {
            val faults = faultsOf(
                """
                {
                  "name": "c1", "dataCenter": 7, "administration": "127.0.0.1",
                  "controllers": [{"name": "c1"}], "colour": "blue", "shutdownSeconds": -1,
                  "entry": {"listen": "127.0.0.1:8080", "retryBudget": 1.5, "maximumAttempts": "x"}
                }
                """.trimIndent(),
            )

            assertEquals(
                listOf(
                    "colour: unknown setting, expected one of name, dataCenter, administration, " +
                        "fleetKeyFile, controllers, controllerPeerPort, contactMilliseconds, " +
                        "eventFile, logFormat, shutdownSeconds, entry, forwarder, sidecar, " +
                        "controller",
                    "dataCenter: expected a string, found 7",
                    "administration: expected an address such as 127.0.0.1:8080, " +
                        "found \"127.0.0.1\"",
                    "fleetKeyFile: missing",
                    "controllers[0].address: missing",
                    "shutdownSeconds: must be in 0..3600: -1",
                    "entry.maximumAttempts: expected an integer, found \"x\"",
                    "entry.retryBudget: must be in 0..1: 1.5",
                ),
                faults,
            )
        }

        @Test
        fun `reports contradictions together`() {
            val faults = faultsOf(
                """
                {
                  "name": "c9", "dataCenter": "lj-1", "administration": "127.0.0.1:7301",
                  "fleetKeyFile": "k", "controllers": [{"name": "c1", "address": "127.0.0.1:1"}],
                  "controller": {
                    "listen": "127.0.0.1:7301", "operators": "127.0.0.1:7302", "dataFolder": "d",
                    "electionMilliseconds": 300, "heartbeatMilliseconds": 150
                  }
                }
                """.trimIndent(),
            )

            assertEquals(
                listOf(
                    "controllers: the controller c9 is not in the list",
                    "controller.heartbeatMilliseconds: must be at most a third of " +
                        "electionMilliseconds (100): 150",
                    "two listeners share 127.0.0.1:7301",
                ),
                faults,
            )
        }

        @Test
        fun `reports text that is not valid JSON`() {
            val faults = faultsOf("{\"name\": ")

            assertEquals(1, faults.size)
            assertEquals("not valid JSON: ", faults.single().take(16))
        }

        private fun faultsOf(text: String): List<String> =
            SettingsReader.parse(text).getError().orEmpty().map { it.describe() }
    }

    @Nested
    inner class Describing {
        @Test
        fun `the settings reference matches the declarations`() {
            val page = java.nio.file.Path.of("../docs/settings.md").toFile().readText()

            assertEquals(SettingsPage.render(), page)
        }
    }
}
