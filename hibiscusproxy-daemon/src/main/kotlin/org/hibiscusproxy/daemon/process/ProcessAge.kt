package org.hibiscusproxy.daemon.process

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads how long ago the operating system started this process. */
internal object ProcessAge {
    /** Time since the process was started, or null if the system does not tell it. */
    fun read(): Duration? = try {
        val uptime = Files.readString(Path.of("/proc/uptime")).substringBefore(' ').toDouble()
        // The name of the program, in parentheses, may contain spaces.
        val fields = Files.readString(Path.of("/proc/self/stat")).substringAfterLast(") ")
        val startedAt = fields.split(' ')[START_TIME_FIELD].toDouble() / TICKS_PER_SECOND
        (uptime - startedAt).seconds
    } catch (_: IOException) {
        null
    } catch (_: NumberFormatException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }

    /** Index of the start time among the fields after the name of the program. */
    private const val START_TIME_FIELD = 19

    /** Unit of the start time on all platforms of Linux that the JVM supports. */
    private const val TICKS_PER_SECOND = 100.0
}
