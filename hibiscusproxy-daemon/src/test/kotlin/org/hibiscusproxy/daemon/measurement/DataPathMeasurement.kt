package org.hibiscusproxy.daemon.measurement

import java.io.BufferedInputStream
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ThreadLocalRandom
import kotlin.concurrent.thread
import org.hibiscusproxy.daemon.testing.FakeController
import org.hibiscusproxy.daemon.testing.TestFleet
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName

/**
 * Measures the latency that entry and sidecar add to the first token and to each token, compared
 * with direct calls to the same target. Both roles run as separate processes. The first line of
 * output contains the addresses of the controller and the target; the measurement starts when the
 * entry responds. Arguments: entry port, sidecar port, streams.
 */
fun main(arguments: Array<String>) {
    val (entryPort, sidecarPort, streams) = arguments.map { it.toInt() }
    val target = PacedTarget(intervalNanoseconds = 33_000_000)
    val controller = FakeController()
    controller.publish(stateFor(sidecarPort, streams))
    println("controller ${controller.address.address} target http://127.0.0.1:${target.port}")
    while (StreamClient(entryPort, 1, 1).run().tokens.isEmpty()) Thread.sleep(300)
    println("warming up")
    repeat(WARM_UP_ROUNDS) { StreamClient(entryPort, streams, 2).run() }
    StreamClient(target.port, streams, TOKENS_PER_STREAM).run()
    repeat(3) {
        report("direct", StreamClient(target.port, streams, TOKENS_PER_STREAM).run())
        report("through", StreamClient(entryPort, streams, TOKENS_PER_STREAM).run())
    }
    println("done")
}

private const val TOKENS_PER_STREAM = 60

/** Request setup runs once per stream, so that its JIT compilation takes many rounds. */
private const val WARM_UP_ROUNDS = 20

private fun stateFor(sidecarPort: Int, streams: Int) = FleetState(
    1,
    FleetObjects(
        teams = listOf(Team(TeamName("repair"))),
        services = listOf(
            Service(
                TestFleet.CHAT,
                ServiceKind.Chat(listOf(TestFleet.MODEL)),
                loadMultiple = 100.0,
            ),
        ),
        targets = listOf(
            Target(
                TargetName("engine"),
                TestFleet.CHAT,
                TestFleet.NORTH,
                NetworkAddress("127.0.0.1", sidecarPort),
                models = listOf(TestFleet.MODEL),
                capacity = streams,
                coldCapacity = streams,
            ),
        ),
    ),
)

private fun report(name: String, delays: Delays) {
    fun List<Long>.percentile(share: Double) = this[((size - 1) * share).toInt()] / 1_000
    val tokens = delays.tokens.sorted()
    val first = delays.first.sorted()
    println(
        "$name: ${tokens.size} tokens, delay us p50 ${tokens.percentile(0.5)} " +
            "p99 ${tokens.percentile(0.99)} max ${tokens.percentile(1.0)}; " +
            "first token us p50 ${first.percentile(0.5)} p99 ${first.percentile(0.99)}",
    )
}

/** Delays in nanoseconds: of tokens since they were written, of first tokens since the request. */
class Delays {
    val tokens = ConcurrentLinkedQueue<Long>()
    val first = ConcurrentLinkedQueue<Long>()
}

/** Reads [streams] concurrent streams of [tokens] events, started at random within one second. */
class StreamClient(private val port: Int, private val streams: Int, private val tokens: Int) {
    fun run(): Delays {
        val delays = Delays()
        List(streams) {
            thread {
                Thread.sleep(ThreadLocalRandom.current().nextLong(1_000))
                runCatching { Socket("127.0.0.1", port).use { read(it, delays) } }
            }
        }.forEach { it.join() }
        return delays
    }

    private fun read(socket: Socket, delays: Delays) {
        socket.tcpNoDelay = true
        val body = TestFleet.chatBody("measure " + "x".repeat(2_000))
        val started = System.nanoTime()
        socket.getOutputStream().write(
            (
                "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Team: repair\r\n" +
                    "Connection: close\r\n" +
                    "X-Tokens: $tokens\r\nContent-Length: ${body.length}\r\n\r\n$body"
                ).encodeToByteArray(),
        )
        val input = BufferedInputStream(socket.getInputStream())
        if (input.readHead()?.startsWith("HTTP/1.1 200") != true) return
        val reader = input.bufferedReader()
        var isFirst = true
        while (true) {
            val line = reader.readLine() ?: return
            if (line == "0") return
            if (!line.startsWith("data: ")) continue
            val now = System.nanoTime()
            delays.tokens += now - line.removePrefix("data: ").toLong()
            if (isFirst) delays.first += now - started
            isFirst = false
        }
    }
}
