package org.hibiscusproxy.standins.deployment

import java.io.File
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import okhttp3.OkHttpClient
import okhttp3.Request

/**
 * Runs the processes of a deployment folder for scenarios and measurements, and injures them:
 * kills, freezes, restarts, wiped data folders. Only processes that it started are touched.
 *
 * @property folder where [DeploymentFolder] wrote; logs go to its folder `logs`
 */
class ProcessFleet(private val folder: Path, processes: List<PlannedProcess>) : AutoCloseable {
    private val planned = processes.associateBy { it.name }
    private val running = ConcurrentHashMap<String, Process>()
    private val client = OkHttpClient.Builder()
        .connectTimeout(HEALTH_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .readTimeout(HEALTH_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .build()

    /** Names of all processes in the order to start them. */
    val names: List<String> = processes.map { it.name }

    /** Starts all processes and waits until each is healthy. */
    fun startAll(timeout: Duration = 60.seconds) {
        names.forEach { launch(it) }
        names.forEach { awaitHealthy(it, timeout) }
    }

    /** Starts [name] and waits until it is healthy. */
    fun start(name: String, timeout: Duration = 30.seconds) {
        launch(name)
        awaitHealthy(name, timeout)
    }

    /** Starts [name] without waiting. */
    fun launch(name: String) {
        val process = planned.getValue(name)
        check(running[name]?.isAlive != true) { "already running: $name" }
        val logs = folder.resolve("logs").createDirectories()
        running[name] = ProcessBuilder(command(process))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve("$name.log").toFile()))
            .apply { environment()["MALLOC_ARENA_MAX"] = "2" }
            .start()
    }

    /** Ends [name] as a crash would. */
    fun kill(name: String) {
        running.getValue(name).destroyForcibly().waitFor()
    }

    /** Sends SIGTERM to [name] and returns its exit code, or null when [timeout] passed first. */
    fun terminate(name: String, timeout: Duration = 30.seconds): Int? {
        val process = running.getValue(name)
        process.destroy()
        val ended = process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return if (ended) process.exitValue() else null
    }

    /** Stops [name] from running without closing its connections. */
    fun freeze(name: String) = signal(name, "STOP")

    /** Lets a frozen process run on. */
    fun thaw(name: String) = signal(name, "CONT")

    /** Deletes the data folder of the controller [name], which must not run. */
    @OptIn(kotlin.io.path.ExperimentalPathApi::class)
    fun wipeDisk(name: String) {
        check(running[name]?.isAlive != true) { "still running: $name" }
        folder.resolve("data").resolve(name).deleteRecursively()
    }

    /** Whether [name] runs now. */
    fun isRunning(name: String): Boolean = running[name]?.isAlive == true

    /** Process identifier of [name], which was started before. */
    fun processIdentifier(name: String): Long = running.getValue(name).pid()

    /** Waits until `/health` of [name] answers. */
    fun awaitHealthy(name: String, timeout: Duration) {
        val address = planned.getValue(name).administration
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!answers("http://$address/health")) {
            check(isRunning(name)) { "$name ended early; see logs/$name.log" }
            check(deadline.hasNotPassedNow()) { "$name is not healthy after $timeout" }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    /** Waits until `/ready` of [name] answers 200. */
    fun awaitReady(name: String, timeout: Duration = 30.seconds) {
        val address = planned.getValue(name).administration
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!answers("http://$address/ready")) {
            check(deadline.hasNotPassedNow()) { "$name is not ready after $timeout" }
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    /** Ends all processes. */
    override fun close() {
        running.values.forEach { it.destroyForcibly() }
        running.values.forEach { it.waitFor() }
        client.connectionPool.evictAll()
        client.dispatcher.executorService.shutdown()
    }

    private fun answers(url: String): Boolean = runCatching {
        client.newCall(Request.Builder().url(url).build()).execute().use { it.isSuccessful }
    }.getOrDefault(false)

    private fun signal(name: String, signal: String) {
        val identifier = running.getValue(name).pid().toString()
        val exit = ProcessBuilder("kill", "-$signal", identifier).start().waitFor()
        check(exit == 0) { "kill -$signal failed for $name" }
    }

    private fun command(process: PlannedProcess): List<String> {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val main = when (process.program) {
            PlannedProcess.Program.PRODUCT -> "org.hibiscusproxy.daemon.MainKt"
            PlannedProcess.Program.STAND_IN -> "org.hibiscusproxy.standins.MainKt"
        }
        val path = System.getProperty("java.class.path")
        return listOf(java) + JVM_OPTIONS + listOf("-cp", path, main) + process.arguments
    }

    private companion object {
        const val HEALTH_TIMEOUT_MILLISECONDS = 500L
        val POLL = 50.milliseconds
        val JVM_OPTIONS = listOf(
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
        )
    }
}
