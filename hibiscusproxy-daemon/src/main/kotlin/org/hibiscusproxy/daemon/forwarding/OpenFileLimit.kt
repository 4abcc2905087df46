package org.hibiscusproxy.daemon.forwarding

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The number of descriptors that this process may open. Read from the system's own file, since the
 * management classes of the JVM cost time at each start.
 */
internal object OpenFileLimit {
    /** The usual limit of the platform, where the file cannot be read. */
    private const val DEFAULT = 4_096
    private const val NAME = "Max open files"

    /** Greater values only say that there is no limit. */
    private const val GREATEST = 1_000_000L

    fun read(path: Path = Path.of("/proc/self/limits")): Int = try {
        Files.readAllLines(path).firstOrNull { it.startsWith(NAME) }
            ?.removePrefix(NAME)?.trim()?.substringBefore(' ')
            ?.let { it.toLongOrNull() ?: GREATEST }
            ?.coerceIn(1, GREATEST)?.toInt()
            ?: DEFAULT
    } catch (_: IOException) {
        DEFAULT
    }
}
