package org.hibiscusproxy.daemon.process

import com.github.michaelbull.result.fold
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SettingsReader
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Reloads the settings file on SIGHUP and whenever its modification time changes. An invalid file
 * is ignored and its faults are logged.
 */
class SettingsWatcher(
    private val file: Path,
    private val signals: ProcessSignals,
    private val onChange: (Settings) -> Unit,
) {
    private var lastModified: FileTime? = readModificationTime()

    /** Starts a daemon thread that watches the file until the process exits. */
    fun start() {
        Thread(::watch, "settings").apply { isDaemon = true }.start()
    }

    private fun watch() {
        while (true) {
            val isSignalled = signals.awaitReload(POLL_MILLISECONDS)
            val current = readModificationTime()
            if (!isSignalled && current == lastModified) continue
            lastModified = current
            reload()
        }
    }

    private fun reload() = SettingsReader.read(file).fold(
        success = onChange,
        failure = { faults ->
            faults.forEach { LOG.error("process: Settings not reloaded. {}", it.describe()) }
        },
    )

    private fun readModificationTime(): FileTime? = try {
        Files.getLastModifiedTime(file)
    } catch (failure: IOException) {
        LOG.warn("process: Cannot access {}, keeping the settings. {}", file, failure.toString())
        null
    }

    private companion object {
        /** Upper bound of the delay until a change without a signal is detected. */
        const val POLL_MILLISECONDS = 2_000L

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.process.SettingsWatch"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}
