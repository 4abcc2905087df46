package org.hibiscusproxy.daemon.command

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.cli.ExperimentalCli
import org.hibiscusproxy.daemon.controller.ControllerFixture
import org.hibiscusproxy.model.ObjectFile
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against commands that exit with a wrong code or hide the cause of a failure. */
class OperatorCommandTest {
    @TempDir
    lateinit var folder: Path
    private val fixture by lazy {
        ControllerFixture(folder.resolve("data"), listOf("c1"), leaseMilliseconds = 500)
    }
    private val printed = ByteArrayOutputStream()

    @AfterTest
    fun close() = fixture.close()

    private fun file(name: String, text: String): String =
        Files.writeString(folder.resolve(name), text).toString()

    private fun options(key: String = "a fleet key for tests", timeout: Int = 10) = arrayOf(
        "--controllers",
        fixture.addresses.joinToString(",") { "${it.operators}" },
        "--key-file",
        file("key", key),
        "--timeout",
        "$timeout",
    )

    @OptIn(ExperimentalCli::class)
    private fun run(command: OperatorCommand, vararg arguments: String): ExitCode {
        printed.reset()
        command.output = PrintStream(printed)
        command.errors = PrintStream(printed)
        command.parse(arrayOf(*arguments))
        return command.run()
    }

    private fun lines() = printed.toString().trim().lines()

    private fun objectFile() = file("fleet.json", ObjectFile.format(ControllerFixture.objects))

    @Nested
    inner class Check {
        @Test
        fun `reports faults of all files`() {
            val first = file("a.json", "{\"teams\": [{\"name\": \"volta\", \"shares\": 1}]}")
            val second = file("b.json", "{")

            assertEquals(ExitCode.REFUSED, run(CheckCommand(), first, second))
            assertEquals(2, lines().size, "${lines()}")
        }

        @Test
        fun `reports faults of the combined set of files`() {
            val first = file("a.json", "{\"teams\": [{\"name\": \"volta\"}]}")

            assertEquals(ExitCode.REFUSED, run(CheckCommand(), first, first))
            assertEquals(listOf("team \"volta\": the name is used more than once"), lines())
            assertEquals(ExitCode.DONE, run(CheckCommand(), first))
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `are applied, printed, refused and recognised when resent`() {
            fixture.start()
            val options = options()
            assertEquals(ExitCode.DONE, run(ApplyCommand(), *options, objectFile()))
            assertEquals("accepted as version 1", lines().first())

            val out = arrayOf(*options, "--change", "drain-1", "--wait", "0", "out", "lj")
            assertEquals(ExitCode.DONE, run(DataCenterCommand(), *out))
            assertEquals(ExitCode.DONE, run(DataCenterCommand(), *out))
            assertEquals("accepted as version 2", lines().first())
            assertEquals(ExitCode.DONE, run(InstanceCommand(), *options, "drain", "t2"))

            assertEquals(ExitCode.DONE, run(GetCommand(), *options))
            assertEquals("// version 3", lines().first())
            assertEquals(ExitCode.REFUSED, run(InstanceCommand(), *options, "drain", "t9"))
            assertEquals(listOf("there is no target \"t9\""), lines())
        }

        @Test
        fun `based on an earlier version conflict`() {
            fixture.start()
            val options = options()
            val files = arrayOf("--based-on", "0", objectFile())
            assertEquals(ExitCode.DONE, run(ApplyCommand(), *options, *files))
            val other = file("other.json", "{\"teams\": [{\"name\": \"volta\"}]}")

            val exitCode = run(ApplyCommand(), *options, "--based-on", "0", other)
            assertEquals(ExitCode.CONFLICT, exitCode)
            assertEquals(listOf("conflict: based on version 0, changed at 1"), lines())
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `of authentication are refused by the controller`() {
            fixture.start()

            val exitCode = run(StatusCommand(), *options(key = "another fleet key"))
            assertEquals(ExitCode.REFUSED, exitCode)
            assertEquals(listOf("the signature does not match"), lines())
        }

        @Test
        fun `to reach a controller are distinguished from refusals`() {
            val exitCode = run(DataCenterCommand(), *options(timeout = 1), "out", "lj")

            assertEquals(ExitCode.UNKNOWN, exitCode)
            assertTrue(lines().first().startsWith("no controller reached, nothing was done"))
        }

        @Test
        fun `to parse options are usage errors`() {
            val exitCode = run(StatusCommand(), "-c", "localhost", "-k", file("key", "k"))

            assertEquals(ExitCode.USAGE, exitCode)
            assertEquals(listOf("--controllers: expected host:port: localhost"), lines())
        }
    }
}
