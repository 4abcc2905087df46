package org.hibiscusproxy.standins.names

import kotlin.io.path.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.walk
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import org.hibiscusproxy.daemon.settings.Settings
import org.junit.jupiter.api.Nested

/**
 * Guards against a rename in the code that changes a name outside the process: in messages, stored
 * data, settings, metrics, headers or log fields. Other builds and operators' tools read those.
 */
class OuterNamesTest {
    private val expected = Path("src/test/resources/outer-names.txt").readLines()

    private val sources = Path("..").walk()
        .filter { "src/main/kotlin" in it.toString() && it.toString().endsWith(".kt") }
        .joinToString("\n") { it.readText() }

    private fun assertNames(kind: String, names: Iterable<String>) {
        val found = names.toSortedSet().toList()
        assertTrue(found.isNotEmpty(), "no name of kind $kind was found")
        assertEquals(
            expected.filter { it.startsWith("$kind ") }.joinToString("\n"),
            found.joinToString("\n"),
        )
    }

    private fun assertMatches(kind: String, pattern: String) = assertNames(
        kind,
        Regex(pattern).findAll(sources).map { "$kind ${it.groupValues[1]}" }.asIterable(),
    )

    private fun settings(descriptor: SerialDescriptor, path: String): List<String> =
        List(descriptor.elementsCount) { index ->
            val name = path + descriptor.getElementName(index)
            val child = descriptor.getElementDescriptor(index)
            val nested = when (child.kind) {
                StructureKind.CLASS -> settings(child, "$name.")
                StructureKind.LIST -> settings(child.getElementDescriptor(0), "$name[].")
                else -> emptyList()
            }
            listOf("setting $name") + nested
        }.flatten()

    @Nested
    inner class Stay {
        @Test
        fun `formats of serialized types`() = assertNames("serial", SerialFormats().render())

        @Test
        fun `keys of settings`() =
            assertNames("setting", settings(Settings.serializer().descriptor, ""))

        @Test
        fun `names of meters`() =
            assertMatches("meter", "\"((?:hibiscus|forwarder|process)\\.[a-z.-]+)\"")

        @Test
        fun `labels of meters`() = assertMatches("label", "\\.tag\\(\\s*\"([a-z]+)\"")

        @Test
        fun `fields of log lines`() = assertMatches("field", "[ \"]([a-z]+=)(?:\\{|\\\\\"|[a-z])")

        @Test
        fun `events of log lines`() = assertMatches("event", "event=([a-z-]+)")

        @Test
        fun `names of headers`() =
            assertMatches("header", "\"((?:X-|Kv-|Last-|Idempotency-|Server-|Resumes)[A-Za-z-]*)\"")
    }
}
