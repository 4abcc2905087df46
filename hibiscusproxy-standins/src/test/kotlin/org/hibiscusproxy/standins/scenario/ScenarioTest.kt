package org.hibiscusproxy.standins.scenario

import com.github.michaelbull.result.getOrThrow
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.io.path.extension
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.streams.asStream
import org.hibiscusproxy.standins.deployment.PortBlock
import org.junit.jupiter.api.Assumptions.assumeTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.TestFactory

/** Runs the scripts of the folder `scenarios` against fleets of real processes. */
class ScenarioTest {
    private val folder = Path.of("../scenarios")

    private val knownFailures = Path.of("../KNOWN-RED.txt").readText()

    private fun testsOf(files: List<Path>) = files.asSequence().asStream().map { file ->
        DynamicTest.dynamicTest(file.name) {
            if ("scenarios/${file.name}" in knownFailures) {
                println("not run, known failure in KNOWN-RED.txt: ${file.name}")
            }
            assumeTrue("scenarios/${file.name}" !in knownFailures)
            run(file)
        }
    }

    @OptIn(ExperimentalPathApi::class)
    private fun run(file: Path) {
        val scenario = ScenarioParser.parse(file.name, file.readText())
            .getOrThrow { AssertionError("$it") }
        val data = Files.createTempDirectory("hibiscusproxy-scenario")
        PortBlock.reserve().use { ports ->
            ScenarioRunner(data, ports.base, ::println).use { it.run(scenario) }
        }
        // Not reached after a failure, so that the logs and events of the run are kept.
        data.deleteRecursively()
    }

    /** Guards against regressions that show only in whole fleets; takes about two minutes. */
    @Nested
    @Tag("scenario")
    inner class Quick {
        @TestFactory
        fun `quick scripts hold`() = testsOf(QUICK.map { folder.resolve("$it.scenario") })
    }

    /** Runs with `-Dscenarios=long`. */
    @Nested
    @Tag("scenario")
    inner class Long {
        @TestFactory
        fun `all other scripts hold`() = testsOf(
            folder.listDirectoryEntries().sorted()
                .filter { System.getProperty("scenarios") == "long" }
                .filter { it.extension == "scenario" && it.name.removeSuffix(SUFFIX) !in QUICK },
        )
    }

    private companion object {
        const val SUFFIX = ".scenario"
        val QUICK = listOf(
            "operators-race",
            "leader-killed-five-times",
            "second-loss-after-repair",
        )
    }
}
