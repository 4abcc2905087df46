package org.hibiscusproxy.daemon.process

import com.github.michaelbull.result.fold
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SettingsReader
import org.slf4j.LoggerFactory
import sun.misc.Signal

/**
 * Reads the settings file again on SIGHUP and whenever it was written. A file with faults changes
 * nothing; its faults are logged.
 */
class SettingsWatch(private val file: Path, private val take: (Settings) -> Unit) {
    private val signals = LinkedBlockingQueue<Unit>(1)
    private var known: FileTime? = modified()

    /** Watches on a thread of its own until the process ends. */
    fun start() {
        Signal.handle(Signal("HUP")) { signals.offer(Unit) }
        Thread(::watch, "settings").apply { isDaemon = true }.start()
    }

    private fun watch() {
        while (true) {
            val isSignalled = signals.poll(CHECK_SECONDS, TimeUnit.SECONDS) != null
            val now = modified()
            if (!isSignalled && now == known) continue
            known = now
            read()
        }
    }

    private fun read() = SettingsReader.read(file).fold(
        success = take,
        failure = { faults ->
            faults.forEach { LOG.error("process: Settings not taken. {}", it.describe()) }
        },
    )

    private fun modified(): FileTime? = try {
        Files.getLastModifiedTime(file)
    } catch (failure: IOException) {
        LOG.warn("process: Settings file cannot be looked at. {}", failure.toString())
        null
    }

    private companion object {
        /** A change without a signal is in force a little later than one with it. */
        const val CHECK_SECONDS = 2L
        val LOG = LoggerFactory.getLogger(SettingsWatch::class.java)
    }
}
