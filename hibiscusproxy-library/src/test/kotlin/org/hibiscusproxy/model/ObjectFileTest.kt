package org.hibiscusproxy.model

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against invalid files that are accepted or rejected without a position. */
class ObjectFileTest {
    private fun fault(text: String) = ObjectFile.parse("fleet.json", text).getError().toString()

    @Nested
    inner class Parsing {
        @Test
        fun `accepts comments and service kinds`() {
            val text = """
                {
                  // a comment
                  "services": [
                    {"name": "chat", "kind": {"type": "chat", "models": ["manuals"]}},
                  ]
                }
            """.trimIndent()

            val expected = FleetObjects(
                services = listOf(
                    Service(ServiceName("chat"), ServiceKind.Chat(listOf(ModelName("manuals")))),
                ),
            )
            assertEquals(expected, ObjectFile.parse("fleet.json", text).get())
        }

        @Test
        fun `restores formatted objects`() {
            val objects = FleetObjects(teams = listOf(Team(TeamName("volta"), share = 3)))

            assertEquals(objects, ObjectFile.parse("f", ObjectFile.format(objects)).get())
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `report file, line and column of a misspelt key`() {
            val text = "{\n  \"teams\": [\n    {\"name\": \"volta\", \"shares\": 2}\n  ]\n}"

            assertEquals(
                "fleet.json:3:24: Encountered an unknown key 'shares' at path: $.teams[0]",
                fault(text),
            )
        }

        @Test
        fun `report file, line and column of a syntax error`() {
            assertEquals(
                "fleet.json:2:11: Expected colon ':', but had '[' instead at path: $",
                fault("{\n  \"teams\" [\n}"),
            )
        }

        @Test
        fun `report the value of an invalid address`() {
            val text = """{"targets": [{"name": "a", "service": "s", "dataCenter": "d",
                "sidecar": "127.0.0.1"}]}"""

            assertEquals("fleet.json: expected host:port: 127.0.0.1", fault(text))
        }
    }
}
