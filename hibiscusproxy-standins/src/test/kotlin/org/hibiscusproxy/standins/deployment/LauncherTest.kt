package org.hibiscusproxy.standins.deployment

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertEquals
import okhttp3.OkHttpClient
import okhttp3.Request
import org.awaitility.Awaitility.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/**
 * Starts a process of each role as an operator does: through `bin/hibiscusproxy` with its default
 * JVM options. The script runs the packaged program, which `mvn package -DskipTests` builds.
 */
class LauncherTest {
    @TempDir
    lateinit var folder: Path

    private val ports = PortBlock.reserve()
    private val client = OkHttpClient.Builder().callTimeout(1, TimeUnit.SECONDS).build()
    private val started = ArrayList<Process>()

    @AfterEach
    fun stop() {
        started.forEach { it.destroyForcibly().waitFor() }
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
        ports.close()
    }

    /** Guards against default options that the JVM refuses on one kind of machine. */
    @Nested
    inner class DefaultOptions {
        @Test
        fun `start a controller`() = expectStart("controller-1")

        @Test
        fun `start a sidecar`() = expectStart("sidecar-chat-1")

        @Test
        fun `start an entry`() = expectStart("entry-1")

        @Test
        fun `run a command of operators`() {
            val command = launch("operator", listOf("check", "../examples/volta.json"))
            assertEquals(0, command.waitFor(), log("operator"))
        }
    }

    private fun expectStart(name: String) {
        val deployment = Deployment.demonstration().apply { basePort = ports.base }.build()
        val process = DeploymentFolder(deployment, folder).write().first { it.name == name }
        val running = launch(name, process.arguments)
        await().atMost(30, TimeUnit.SECONDS).until {
            !running.isAlive || respondsWithSuccess("http://${process.administration}/health")
        }
        check(running.isAlive) { "$name exited with ${running.exitValue()}: ${log(name)}" }
        running.destroy()
        assertEquals(0, running.waitFor(), log(name))
    }

    private fun launch(name: String, arguments: List<String>): Process =
        ProcessBuilder(listOf("../bin/hibiscusproxy") + arguments)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("$name.log").toFile())
            .apply { environment() -= "HIBISCUS_OPTIONS" }
            .start()
            .also { started += it }

    private fun log(name: String): String = folder.resolve("$name.log").readText()

    private fun respondsWithSuccess(url: String): Boolean = runCatching {
        client.newCall(Request.Builder().url(url).build()).execute().use { it.isSuccessful }
    }.getOrDefault(false)
}
