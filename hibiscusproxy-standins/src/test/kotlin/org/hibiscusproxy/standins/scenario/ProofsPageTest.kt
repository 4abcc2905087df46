package org.hibiscusproxy.standins.scenario

import kotlin.io.path.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.walk
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against references in docs/PROOFS.md to tests and scripts that do not exist. */
class ProofsPageTest {
    private val root = Path("..")
    private val page = root.resolve("docs/PROOFS.md").readText()
    private val tests = root.walk()
        .filter { "src/test/kotlin" in it.toString() && it.toString().endsWith("Test.kt") }
        .associate { it.fileName.toString().removeSuffix(".kt") to it.readText() }

    private fun matches(pattern: String) =
        Regex(pattern).findAll(page).map { it.groupValues }.toList().also {
            assertTrue(it.isNotEmpty(), "docs/PROOFS.md has no match for $pattern")
        }

    @Nested
    inner class Names {
        @Test
        fun `scripts that exist`() = assertEquals(
            emptyList(),
            matches("`([a-z0-9-]+\\.scenario)`").map { it[1] }
                .filterNot { root.resolve("scenarios/$it").exists() },
        )

        @Test
        fun `test classes that exist`() = assertEquals(
            emptyList(),
            matches("`([A-Z][A-Za-z]+Test)`").map { it[1] }.filterNot { it in tests },
        )

        @Test
        fun `tests that exist in their classes`() = assertEquals(
            emptyList(),
            matches("`([A-Z][A-Za-z]+Test)` \"([^\"]+)\"")
                .filterNot { (_, file, name) -> "fun `$name`" in tests[file].orEmpty() }
                .map { it[0] },
        )
    }
}
