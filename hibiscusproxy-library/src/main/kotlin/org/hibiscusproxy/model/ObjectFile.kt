package org.hibiscusproxy.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Parses and formats object files: JSON with comments and the structure of [FleetObjects]. Unknown
 * keys are rejected, because a misspelt key would otherwise silently fall back to a default.
 */
object ObjectFile {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
        prettyPrint = true
    }
    private val offsetPattern = Regex("""at offset (\d+):? ?""")
    private val pathPattern = Regex("""at path:? (\$\S*)""")

    /** Parses [text]; faults name [file] as its source. */
    fun parse(file: String, text: String): Result<FleetObjects, ObjectFileFault> = try {
        Ok(json.decodeFromString(FleetObjects.serializer(), text))
    } catch (failure: SerializationException) {
        Err(fault(file, text, failure.message.orEmpty()))
    } catch (failure: IllegalArgumentException) {
        // Thrown by property types such as NetworkAddress; contains the value but no position.
        Err(ObjectFileFault(file, null, null, failure.message.orEmpty()))
    }

    /** Formats [objects] so that [parse] can read them. */
    fun format(objects: FleetObjects): String =
        json.encodeToString(FleetObjects.serializer(), objects)

    private fun fault(file: String, text: String, message: String): ObjectFileFault {
        val offset = offsetPattern.find(message)?.groupValues?.get(1)?.toInt()
        val path = pathPattern.find(message)?.groupValues?.get(1)
        val summary = message.lineSequence().first()
            .replace(offsetPattern, "")
            .removePrefix("Unexpected JSON token ")
            .trim()
        val description = if (path == null || path in summary) summary else "$summary at $path"
        if (offset == null) return ObjectFileFault(file, null, null, description)
        val before = text.take(offset)
        val line = before.count { it == '\n' } + 1
        val column = offset - before.lastIndexOf('\n')
        return ObjectFileFault(file, line, column, description)
    }
}

/**
 * Reason why a file could not be parsed as objects.
 *
 * @property line line number from 1, or null if the parser gives no position
 * @property column column number from 1, or null if the parser gives no position
 */
data class ObjectFileFault(
    val file: String,
    val line: Int?,
    val column: Int?,
    val description: String,
) {
    override fun toString(): String {
        val position = if (line == null) "" else ":$line:$column"
        return "$file$position: $description"
    }
}
