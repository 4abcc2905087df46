package org.hibiscusproxy.standins.deployment

import kotlin.time.Duration
import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.Link
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.Team
import org.hibiscusproxy.model.TeamName

/**
 * A fleet on the loopback interface of one machine: data centres, workers with their sidecars,
 * entries and controllers. Ports are fixed offsets from [basePort].
 *
 * @property chatWorkers number of engines, assigned to the data centres in rotation
 * @property plainWorkers number of instances of the plain service, assigned in the same way
 */
class Deployment private constructor(builder: Builder) {
    val name: String = builder.name
    val region: String = builder.region
    val dataCenters: List<DataCenterName> = builder.dataCenters.toList()
    val linkMilliseconds: Double = builder.linkMilliseconds
    val chatService: ServiceName = builder.chatService
    val plainService: ServiceName = builder.plainService
    val model: ModelName = builder.model
    val chatWorkers: Int = builder.chatWorkers
    val plainWorkers: Int = builder.plainWorkers
    val entries: Int = builder.entries
    val controllers: Int = builder.controllers
    val basePort: Int = builder.basePort
    val capacity: Int = builder.capacity
    val coldCapacity: Int = builder.coldCapacity
    val teams: List<Team> = builder.teams.toList()

    /** All workers: the engines first, then the instances of the plain service. */
    val workers: List<Worker> = List(chatWorkers + plainWorkers) { index ->
        val isEngine = index < chatWorkers
        val number = if (isEngine) index + 1 else index - chatWorkers + 1
        val dataCenter = dataCenters[(number - 1) % dataCenters.size]
        val service = if (isEngine) chatService else plainService
        Worker(
            name = TargetName("$service-$number"),
            service = service,
            dataCenter = dataCenter,
            isEngine = isEngine,
            address = address(WORKER_OFFSET + index),
            sidecar = address(SIDECAR_OFFSET + index),
            administration = address(SIDECAR_ADMINISTRATION_OFFSET + index),
        )
    }

    /** Objects that operators publish for this fleet. */
    val objects: FleetObjects = FleetObjects(
        teams = teams,
        services = listOf(
            Service(chatService, ServiceKind.Chat(listOf(model))),
            Service(plainService, ServiceKind.Plain()),
        ).map { service ->
            val milliseconds = builder.deadline?.inWholeMilliseconds
            service.copy(deadlineMilliseconds = milliseconds ?: service.deadlineMilliseconds)
        },
        dataCenters = dataCenters.map { DataCenter(it, region) },
        links = dataCenters.flatMapIndexed { index, first ->
            dataCenters.drop(index + 1).map { Link(first, it, linkMilliseconds) }
        },
        targets = workers.map { worker ->
            Target(
                name = worker.name,
                service = worker.service,
                dataCenter = worker.dataCenter,
                sidecar = worker.sidecar,
                models = if (worker.isEngine) listOf(model) else emptyList(),
                capacity = capacity,
                coldCapacity = coldCapacity,
            )
        },
    )

    /** Names of the controllers. */
    val controllerNames: List<String> = List(controllers) { "controller-${it + 1}" }

    /** Addresses of the controllers' operator interfaces. */
    val operatorAddresses: List<NetworkAddress> =
        List(controllers) { address(OPERATORS_OFFSET + it) }

    /** Addresses at which entries accept requests of callers. */
    val entryAddresses: List<NetworkAddress> = List(entries) { address(ENTRY_OFFSET + it) }

    /** Loopback address at [offset] ports from the base. */
    fun address(offset: Int): NetworkAddress = NetworkAddress("127.0.0.1", basePort + offset)

    /** A worker and the addresses of its sidecar. */
    data class Worker(
        val name: TargetName,
        val service: ServiceName,
        val dataCenter: DataCenterName,
        val isEngine: Boolean,
        val address: NetworkAddress,
        val sidecar: NetworkAddress,
        val administration: NetworkAddress,
    )

    /** Builder of a [Deployment]. */
    class Builder(val name: String) {
        var region: String = "region"
        var dataCenters: List<DataCenterName> = listOf(DataCenterName("dc-1"))
        var linkMilliseconds: Double = 0.5
        var chatService: ServiceName = ServiceName("chat")
        var plainService: ServiceName = ServiceName("booking")
        var model: ModelName = ModelName("hibiscus-7b")
        var chatWorkers: Int = 2
        var plainWorkers: Int = 1
        var entries: Int = 1
        var controllers: Int = 1
        var basePort: Int = DEFAULT_BASE_PORT
        var capacity: Int = 64
        var coldCapacity: Int = 8

        /** Deadline of all services; when null, the default of [Service]. */
        var deadline: Duration? = null
        var teams: List<Team> = teams(large = 3, small = 7)

        /** Validates the values and creates the deployment. */
        fun build(): Deployment {
            require(dataCenters.isNotEmpty()) { "deployment $name has no data centre" }
            require(chatWorkers + plainWorkers in 0..MAXIMUM_WORKERS) {
                "workers must be 0..$MAXIMUM_WORKERS: ${chatWorkers + plainWorkers}"
            }
            require(entries in 1..MAXIMUM_ENTRIES) {
                "entries must be 1..$MAXIMUM_ENTRIES: $entries"
            }
            require(controllers in 1..MAXIMUM_CONTROLLERS) {
                "controllers must be 1..$MAXIMUM_CONTROLLERS: $controllers"
            }
            return Deployment(this)
        }
    }

    companion object {
        const val DEFAULT_BASE_PORT = 21_000
        internal const val CONTROLLER_OFFSET = 0
        internal const val OPERATORS_OFFSET = 10
        internal const val CONTROLLER_ADMINISTRATION_OFFSET = 20
        internal const val ENTRY_OFFSET = 30
        internal const val ENTRY_ADMINISTRATION_OFFSET = 40
        internal const val WORKER_OFFSET = 100
        internal const val SIDECAR_OFFSET = 200
        internal const val SIDECAR_ADMINISTRATION_OFFSET = 300
        private const val MAXIMUM_WORKERS = 100
        private const val MAXIMUM_ENTRIES = 10
        private const val MAXIMUM_CONTROLLERS = 9

        /** Teams named as in the load tool: [large] teams of share 4, [small] teams of share 1. */
        fun teams(large: Int, small: Int): List<Team> = List(large + small) { index ->
            val isLarge = index < large
            Team(
                name = TeamName("team-${index + 1}"),
                share = if (isLarge) 4 else 1,
                defaultPriority = if (isLarge) Priority.INTERACTIVE else Priority.NORMAL,
            )
        }

        /** Small fleet for demonstrations: two data centres, three engines, one plain service. */
        fun demonstration(): Builder = Builder("demo").apply {
            dataCenters = listOf(DataCenterName("dc-1"), DataCenterName("dc-2"))
            chatWorkers = 3
            plainWorkers = 1
            entries = 2
        }

        /** Fleet of Popravljalnica Skupaj in three data centres in Ljubljana. */
        fun skupaj(): Builder = Builder("skupaj").apply {
            region = "ljubljana"
            dataCenters = List(3) { DataCenterName("lj-${it + 1}") }
            linkMilliseconds = 1.5
            chatService = ServiceName("diagnosis")
            plainService = ServiceName("booking")
            chatWorkers = 6
            plainWorkers = 3
            entries = 3
            controllers = 3
        }

        /** Fleet of Volta Pathscan in four data centres in southern Ghana. */
        fun volta(): Builder = Builder("volta").apply {
            region = "southern-ghana"
            dataCenters = List(4) { DataCenterName("gh-${it + 1}") }
            linkMilliseconds = 0.5
            chatService = ServiceName("drafting")
            plainService = ServiceName("orders")
            chatWorkers = 6
            plainWorkers = 4
            entries = 4
            controllers = 3
        }
    }
}
