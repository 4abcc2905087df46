package org.hibiscusproxy.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * A settings file and what was last read of it. Contents are compared instead of modification
 * times, which do not change when a file is replaced twice within their resolution.
 */
class SettingsFile(val path: Path) {
    private var text: String? = null

    /** Reads and validates the file. */
    fun read(): Result<Settings, List<SettingsFault>> = try {
        val current = path.readText()
        text = current
        SettingsReader.parse(current)
    } catch (failure: IOException) {
        text = null
        val cause = "${failure::class.simpleName}: ${failure.message}"
        Err(listOf(SettingsFault.Unreadable(path.toString(), cause)))
    }

    /** Whether the file has other contents than were last read. */
    fun hasChanged(): Boolean = try {
        path.readText() != text
    } catch (_: IOException) {
        text != null
    }
}
