package org.hibiscusproxy.daemon.testing

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import kotlinx.coroutines.runBlocking
import org.awaitility.Awaitility.await
import org.hibiscusproxy.daemon.RoleContext
import org.hibiscusproxy.daemon.entry.Entry
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.settings.EntrySettings
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.daemon.sidecar.Sidecar
import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.timeline.FleetEvent

/** Test fixture with a fake controller and real sidecars and entry, all on loopback. */
class TestFleet(
    private val deadlineMilliseconds: Long = 10_000,
    private val entrySettings: (EntrySettings) -> EntrySettings = { it },
) : AutoCloseable {
    private val loopback = NetworkAddress("127.0.0.1", 0)
    private val opened = mutableListOf<AutoCloseable>()
    private val targets = mutableListOf<Target>()
    private var version = 0L
    private var incarnation = 0L
    private val http = HttpClient.newHttpClient()
    val controller = FakeController().also(opened::add)
    val events = CopyOnWriteArrayList<FleetEvent>()
    val entryMeters = SimpleMeterRegistry()
    lateinit var entry: Entry

    fun context(registry: SimpleMeterRegistry = SimpleMeterRegistry()) =
        RoleContext(FakeController.KEY, Incarnation(++incarnation), registry, { "" }, events::add)

    fun settings(name: String, controllers: List<ControllerAddress> = listOf(controller.address)) =
        Settings(
            name = ProcessName(name),
            dataCenter = NORTH,
            administration = loopback,
            fleetKeyFile = "unused",
            controllers = controllers,
        )

    /** Starts a sidecar for the target [name] at [url]. */
    fun sidecar(
        name: String,
        url: String,
        service: ServiceName = CHAT,
        capacity: Int = 100,
    ): Sidecar {
        val section = SidecarSettings(TargetName(name), loopback, url)
        val sidecar = Sidecar.of(settings("sidecar-$name").copy(sidecar = section), context())
        opened += sidecar
        runBlocking { sidecar.start() }
        addTarget(name, sidecar.address, service, capacity)
        return sidecar
    }

    fun addTarget(
        name: String,
        sidecar: NetworkAddress,
        service: ServiceName,
        capacity: Int = 100,
    ) {
        targets += Target(
            TargetName(name),
            service,
            NORTH,
            sidecar,
            models = listOf(MODEL).filter { service == CHAT },
            capacity = capacity,
            coldCapacity = capacity,
        )
    }

    /** Starts the entry, publishes the objects and waits until all sidecars hold a lease. */
    fun start(vararg sidecars: Sidecar): TestFleet {
        val section = entrySettings(EntrySettings(loopback, unreadyMilliseconds = 50))
        entry = Entry.of(settings("entry").copy(entry = section), context(entryMeters))
        opened += entry
        runBlocking { entry.start() }
        publish()
        awaitUntil { entry.isReady && sidecars.all { it.isReady } }
        return this
    }

    fun publish() = controller.publish(
        FleetState(
            ++version,
            FleetObjects(
                teams = listOf(Team(TeamName("repair"))),
                services = listOf(
                    Service(
                        CHAT,
                        ServiceKind.Chat(listOf(MODEL)),
                        deadlineMilliseconds = deadlineMilliseconds,
                    ),
                    Service(
                        BOOKING,
                        ServiceKind.Plain(),
                        deadlineMilliseconds = deadlineMilliseconds,
                    ),
                ),
                dataCenters = listOf(DataCenter(NORTH, "region")),
                targets = targets.toList(),
            ),
        ),
    )

    /** Builds a request to the entry, by default with the team header. */
    fun request(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = mapOf("X-Team" to "repair"),
    ): HttpRequest {
        val builder = HttpRequest.newBuilder(URI("http://${entry.address}$path"))
            .method(method, BodyPublishers.ofString(body))
            .timeout(15.seconds.toJavaDuration())
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    fun send(request: HttpRequest): HttpResponse<String> =
        http.send(request, BodyHandlers.ofString())

    fun sendAsync(request: HttpRequest) = http.sendAsync(request, BodyHandlers.ofString())

    fun chat(prompt: String, stream: Boolean = true) = request(
        "POST",
        "/v1/chat/completions",
        chatBody(prompt, stream),
    )

    fun booking(key: String, body: String) = request(
        "POST",
        "/services/booking/slots?day=2",
        body,
        mapOf("X-Team" to "repair", "Idempotency-Key" to key),
    )

    override fun close() = opened.asReversed().forEach { it.close() }

    companion object {
        val NORTH = DataCenterName("north")
        val CHAT = ServiceName("chat")
        val BOOKING = ServiceName("booking")
        val MODEL = ModelName("manual-reader")

        fun chatBody(prompt: String, stream: Boolean = true) =
            """{"model":"manual-reader","stream":$stream,""" +
                """"messages":[{"role":"user","content":"$prompt"}]}"""

        fun streamOf(prompt: String, tokens: Int) = List(tokens) {
            """data: {"index":$it,"echo":${chatBody(prompt)}}""" + "\n\n"
        }.joinToString("") + "data: [DONE]\n\n"

        fun awaitUntil(limit: Duration = 5.seconds, condition: () -> Boolean) {
            await().atMost(limit.toJavaDuration())
                .pollInterval(java.time.Duration.ofMillis(5))
                .until { condition() }
        }
    }
}
