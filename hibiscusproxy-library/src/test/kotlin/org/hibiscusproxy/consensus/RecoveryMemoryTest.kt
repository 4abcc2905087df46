package org.hibiscusproxy.consensus

import com.github.michaelbull.result.getOrThrow
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.protocol.Payload
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against a replica that runs out of memory at each start, because its folder is large. */
class RecoveryMemoryTest {
    @TempDir
    lateinit var folder: Path

    private fun fill(entries: Int, snapshot: Long) = FileLogStorage.open(folder, 5).orFail().use {
        it.recover().orFail()
        (1L..entries).forEach { index ->
            val content = EntryContent.Command(Payload(ByteArray(ENTRY_BYTES)))
            it.append(listOf(LogEntry(1, index, content))).orFail()
        }
        it.sync().orFail()
        it.saveSnapshot(Snapshot(snapshot, 1, Membership.EMPTY, Payload.EMPTY)).orFail()
    }

    /** Recovers the folder in a process with a heap of [heapMegabytes]; returns its output. */
    private fun recover(heapMegabytes: Int): String {
        val output = Files.createTempFile(folder.parent, "recovery", ".txt")
        val process = ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx${heapMegabytes}m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            Recovery::class.java.name,
            folder.toString(),
        ).redirectErrorStream(true).redirectOutput(output.toFile()).start()
        process.waitFor()
        return Files.readString(output).lines().first()
    }

    @Nested
    inner class `A folder with many entries behind its snapshot` {
        @Test
        fun `is recovered with memory for those after it`() {
            fill(entries = 200, snapshot = 195)
            assertEquals("5 entries", recover(heapMegabytes = 32))
        }
    }

    /** Recovers the folder given as the argument. */
    object Recovery {
        @JvmStatic
        fun main(arguments: Array<String>) {
            val stored = FileLogStorage.open(Path.of(arguments.single()), 5).orFail()
                .use { it.recover().getOrThrow { failure -> StorageFailureException(failure) } }
            println("${stored.entries.size} entries")
        }
    }

    private companion object {
        const val ENTRY_BYTES = 400_000
    }
}
