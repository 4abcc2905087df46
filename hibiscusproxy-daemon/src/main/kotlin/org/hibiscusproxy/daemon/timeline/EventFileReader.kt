package org.hibiscusproxy.daemon.timeline

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.useLines
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hibiscusproxy.timeline.TimelineRecord

/** Reads event files written by [FileEventRecorder]. */
object EventFileReader {
    /** Reason why an event file cannot be read. */
    sealed class Failure {
        /** The file cannot be read. */
        data class Unreadable(val file: Path, val cause: String) : Failure()

        /** Line [line], counted from 1, is not a valid event and not the last line. */
        data class BadLine(val file: Path, val line: Int, val cause: String) : Failure()
    }

    /**
     * Returns all records of [file]. An incomplete last line is skipped, since a process that was
     * killed may leave one.
     */
    fun read(file: Path): Result<List<TimelineRecord>, Failure> = try {
        file.useLines { lines -> parse(file, lines.toList()) }
    } catch (failure: IOException) {
        Err(Failure.Unreadable(file, "${failure::class.simpleName}: ${failure.message}"))
    }

    private fun parse(file: Path, lines: List<String>): Result<List<TimelineRecord>, Failure> {
        val records = ArrayList<TimelineRecord>(lines.size)
        for ((index, line) in lines.withIndex()) {
            try {
                records += Json.decodeFromString(TimelineRecord.serializer(), line)
            } catch (failure: SerializationException) {
                if (index == lines.lastIndex) break
                val cause = failure.message.orEmpty().lineSequence().first()
                return Err(Failure.BadLine(file, index + 1, cause))
            }
        }
        return Ok(records)
    }
}
