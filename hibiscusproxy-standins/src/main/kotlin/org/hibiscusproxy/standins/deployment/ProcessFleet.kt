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
 * Runs the processes of a deployment folder for scenarios and measurements and injects process
 * faults: kill, restart, freeze, loss of a data folder. It signals only processes that it started.
 *
 * @property folder folder written by [DeploymentFolder]; logs go to its subfolder `logs`
 */
class ProcessFleet(private val folder: Path, processes: List<ProcessDefinition>) : AutoCloseable {
    private val definitions = processes.associateBy { it.name }
    private val running = ConcurrentHashMap<String, Process>()
    private val client = OkHttpClient.Builder()
        .connectTimeout(HEALTH_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .readTimeout(HEALTH_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .build()

    /** Names of all processes in start order. */
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

    /** Starts [name] without waiting until it is healthy. */
    fun launch(name: String) {
        val process = definitions.getValue(name)
        check(running[name]?.isAlive != true) { "process is already running: $name" }
        val logs = folder.resolve("logs").createDirectories()
        running[name] = ProcessBuilder(command(process))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logs.resolve("$name.log").toFile()))
            .apply { environment()["MALLOC_ARENA_MAX"] = "2" }
            .start()
    }

    /** Sends SIGKILL to [name] and waits until it has exited. */
    fun kill(name: String) {
        running.getValue(name).destroyForcibly().waitFor()
    }

    /** Sends SIGTERM to [name]; returns its exit code, or null when it runs after [timeout]. */
    fun terminate(name: String, timeout: Duration = 30.seconds): Int? {
        val process = running.getValue(name)
        process.destroy()
        val hasExited = process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return if (hasExited) process.exitValue() else null
    }

    /** Sends SIGSTOP to [name], which keeps its connections open. */
    fun freeze(name: String) = signal(name, "STOP")

    /** Sends SIGCONT to [name], which [freeze] stopped. */
    fun thaw(name: String) = signal(name, "CONT")

    /** Deletes the data folder of controller [name], which must not be running. */
    @OptIn(kotlin.io.path.ExperimentalPathApi::class)
    fun deleteDataFolder(name: String) {
        check(running[name]?.isAlive != true) { "process is still running: $name" }
        folder.resolve("data").resolve(name).deleteRecursively()
    }

    /** Whether [name] is running. */
    fun isRunning(name: String): Boolean = running[name]?.isAlive == true

    /** Process identifier of [name], which must have been started. */
    fun processIdentifier(name: String): Long = running.getValue(name).pid()

    /** Waits until `/health` of [name] answers with a success status. */
    fun awaitHealthy(name: String, timeout: Duration) {
        val address = definitions.getValue(name).administration
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!respondsWithSuccess("http://$address/health")) {
            check(isRunning(name)) { "$name exited before it was healthy; see logs/$name.log" }
            check(deadline.hasNotPassedNow()) { "$name was not healthy within $timeout" }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Waits until `/ready` of [name] answers with a success status. */
    fun awaitReady(name: String, timeout: Duration = 30.seconds) {
        val address = definitions.getValue(name).administration
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!respondsWithSuccess("http://$address/ready")) {
            check(deadline.hasNotPassedNow()) { "$name was not ready within $timeout" }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    /** Sends SIGKILL to all processes and waits until they have exited. */
    override fun close() {
        running.values.forEach { it.destroyForcibly() }
        running.values.forEach { it.waitFor() }
        client.connectionPool.evictAll()
        client.dispatcher.executorService.shutdown()
    }

    private fun respondsWithSuccess(url: String): Boolean = runCatching {
        client.newCall(Request.Builder().url(url).build()).execute().use { it.isSuccessful }
    }.getOrDefault(false)

    private fun signal(name: String, signal: String) {
        val identifier = running.getValue(name).pid().toString()
        val exit = ProcessBuilder("kill", "-$signal", identifier).start().waitFor()
        check(exit == 0) { "kill -$signal of $name failed with exit code $exit" }
    }

    private fun command(process: ProcessDefinition): List<String> {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val main = when (process.program) {
            ProcessDefinition.Program.HIBISCUSPROXY -> "org.hibiscusproxy.daemon.MainKt"
            ProcessDefinition.Program.STAND_INS -> "org.hibiscusproxy.standins.MainKt"
        }
        val path = System.getProperty("java.class.path")
        return listOf(java) + JVM_OPTIONS + listOf("-cp", path, main) + process.arguments
    }

    private companion object {
        const val HEALTH_TIMEOUT_MILLISECONDS = 500L
        val POLL_INTERVAL = 50.milliseconds
        val JVM_OPTIONS = listOf(
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
        )
    }
}
