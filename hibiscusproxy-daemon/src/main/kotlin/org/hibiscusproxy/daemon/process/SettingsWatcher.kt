package org.hibiscusproxy.daemon.process

import com.github.michaelbull.result.fold
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SettingsFile
import org.hibiscusproxy.daemon.settings.isIncomplete
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Reloads the settings [file] on SIGHUP and whenever its contents change. An invalid file is ignored
 * and its faults are logged; one that is being written is looked at again soon.
 */
class SettingsWatcher(
    private val file: SettingsFile,
    private val signals: ProcessSignals,
    private val onChange: (Settings) -> Unit,
) {
    private var isIncomplete = false

    /** Starts a daemon thread that watches the file until the process exits. */
    fun start() {
        Thread(::watch, "settings").apply { isDaemon = true }.start()
    }

    private fun watch() {
        while (true) {
            val isSignalled =
                signals.awaitReload(if (isIncomplete) RETRY_MILLISECONDS else POLL_MILLISECONDS)
            if (isSignalled || file.hasChanged()) reload()
        }
    }

    private fun reload() = file.read().fold(
        success = { settings ->
            isIncomplete = false
            apply(settings)
        },
        failure = { faults ->
            isIncomplete = faults.isIncomplete
            faults.forEach { LOG.error("process: Settings not reloaded. {}", it.describe()) }
        },
    )

    /** The thread has to survive, or no later change would be applied. */
    private fun apply(settings: Settings) = try {
        onChange(settings)
    } catch (failure: Exception) {
        LOG.error("process: Settings not applied.", failure)
    }

    private companion object {
        /** Upper bound of the delay until a change without a signal is detected. */
        const val POLL_MILLISECONDS = 2_000L

        /** The same while the file is incomplete. */
        const val RETRY_MILLISECONDS = 100L

        /** Part of each line in the JSON log format, so it stays stable across class renames. */
        const val LOGGER_NAME = "org.hibiscusproxy.daemon.process.SettingsWatch"
        val LOG: Logger = LoggerFactory.getLogger(LOGGER_NAME)
    }
}
