package org.hibiscusproxy.daemon.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SettingsFile
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import sun.misc.Signal

class SettingsWatcherTest {
    @TempDir
    lateinit var folder: Path

    private val file: Path get() = folder.resolve("settings.json")
    private val signals = ProcessSignals()
    private val changes = LinkedBlockingQueue<Settings>()

    private fun text(name: String) = """{"name": "$name", "dataCenter": "a", "fleetKeyFile": "key",
        "controllers": [{"name": "c", "address": "127.0.0.1:1"}],
        "entry": {"listen": "127.0.0.1:2"}, "administration": "127.0.0.1:3"}"""

    private fun start() {
        file.writeText(text("first"))
        val settingsFile = SettingsFile(file).apply { read() }
        SettingsWatcher(settingsFile, signals) { changes += it }.start()
    }

    private fun nextName(milliseconds: Long) =
        changes.poll(milliseconds, TimeUnit.MILLISECONDS)?.name?.value

    @Nested
    inner class `A settings file` {
        /** Guards against settings that are missed because they were written in part. */
        @Test
        fun `that is cut when it is read is read again soon`() {
            start()
            file.writeText(text("second").take(100))
            signals.handle(Signal("HUP"))
            Thread.sleep(300)
            file.writeText(text("second"))
            assertEquals("second", nextName(milliseconds = 1_000))
        }

        /** Guards against settings that are missed because the file's time did not change. */
        @Test
        fun `that is replaced within a tick of its modification time is read`() {
            start()
            val time = Files.getLastModifiedTime(file)
            file.writeText(text("other"))
            Files.setLastModifiedTime(file, time)
            assertEquals("other", nextName(milliseconds = 5_000))
        }
    }
}
