package org.hibiscusproxy.daemon.forwarding

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.io.TempDir

/** Guards against connections that use up the descriptors, and against newcomers kept out. */
class CallerAdmissionTest {
    @TempDir
    lateinit var folder: Path

    @Test
    fun `half of the descriptors beyond the reserve are for callers`() {
        assertEquals(1_948, CallerAdmission.defaultMaximum(4_096))
        assertEquals(5_366, CallerAdmission.defaultMaximum(10_933))
    }

    @Test
    fun `a process with few descriptors still serves callers`() {
        assertTrue(CallerAdmission.defaultMaximum(100) > 0)
    }

    @Test
    fun `the limit of descriptors is read from the system's file`() {
        val file = folder.resolve("limits")
        Files.writeString(
            file,
            "Limit  Soft  Hard\nMax open files            4096      8192  files\n",
        )
        assertEquals(4_096, OpenFileLimit.read(file))
        Files.writeString(file, "Max open files            unlimited      unlimited  files\n")
        assertEquals(1_000_000, OpenFileLimit.read(file))
        assertEquals(4_096, OpenFileLimit.read(folder.resolve("missing")))
    }
}
