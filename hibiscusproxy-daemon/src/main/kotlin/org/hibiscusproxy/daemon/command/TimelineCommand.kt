package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.fold
import java.nio.file.Path
import java.time.Instant
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.system.exitProcess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.vararg
import kotlinx.serialization.json.Json
import org.hibiscusproxy.daemon.timeline.EventFileReader
import org.hibiscusproxy.timeline.Timeline
import org.hibiscusproxy.timeline.TimelineRecord

/** `timeline`: merges the event files of several processes into one ordered timeline. */
@OptIn(ExperimentalCli::class)
class TimelineCommand :
    Subcommand("timeline", "Merge event files (or folders of *.jsonl) into one ordered timeline") {
    private val paths by argument(ArgType.String, description = "Event files or folders").vararg()
    private val json by option(ArgType.Boolean, "json", description = "Print JSON lines")
        .default(false)
    private val request by option(
        ArgType.String,
        "request",
        description = "Print only events with this request identifier",
    )

    override fun execute() {
        val records = paths.flatMap { eventFiles(Path.of(it)) }.flatMap { read(it) }
        Timeline.merge(records)
            .map { it to render(it) }
            .filter { (_, line) -> request == null || request.toString() in line }
            .forEach { (_, line) -> println(line) }
        exitProcess(ExitCode.DONE.number)
    }

    private fun eventFiles(path: Path): List<Path> = if (path.isDirectory()) {
        path.listDirectoryEntries().filter { it.extension == "jsonl" }.sorted()
    } else {
        listOf(path)
    }

    private fun read(file: Path): List<TimelineRecord> = EventFileReader.read(file).fold(
        success = { it },
        failure = { failure ->
            System.err.println("timeline: $failure")
            exitProcess(ExitCode.USAGE.number)
        },
    )

    private fun render(record: TimelineRecord): String = if (json) {
        Json.encodeToString(TimelineRecord.serializer(), record)
    } else {
        val time = Instant.ofEpochMilli(record.epochMilliseconds)
        "$time ${record.process.value.padEnd(NAME_WIDTH)} ${record.event}"
    }

    private companion object {
        const val NAME_WIDTH = 16
    }
}
