package org.hibiscusproxy.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName

/**
 * Settings of one process, read from a JSON file with comments. A process plays each role whose
 * section is present.
 */
@Serializable
data class Settings(
    @Setting("Name of the process, unique in the fleet.")
    val name: ProcessName,
    @Setting("Name of the data centre that the process runs in.")
    val dataCenter: DataCenterName,
    @Setting(
        "IP number and port where /health, /ready and /metrics are served. A forwarder serves " +
            "them at its readiness address instead.",
    )
    val administration: NetworkAddress? = null,
    @Setting("File with the key that all processes and operators of the fleet share.")
    val fleetKeyFile: String,
    @Setting("The fleet's controllers: name and peer address of each.")
    val controllers: List<ControllerAddress>,
    @Setting(
        "Port on which every controller listens for processes of the fleet, where names and " +
            "addresses of controllers state another interface of theirs; else null.",
        minimum = 1.0,
        maximum = 65_535.0,
    )
    val controllerPeerPort: Int? = null,
    @Setting(
        "Time without contact after which a process is taken for lost; null for the defaults of " +
            "the links between processes.",
        unit = "milliseconds",
        minimum = 300.0,
        maximum = 60_000.0,
    )
    val contactMilliseconds: Long? = null,
    @Setting("File that takes the process's events for the timeline; none when null.")
    val eventFile: String? = null,
    @Setting("Form of log lines on standard output: text or json.")
    val logFormat: LogFormat = LogFormat.TEXT,
    @Setting(
        "Time that a graceful shutdown gives requests in progress to finish.",
        unit = "seconds",
        minimum = 0.0,
        maximum = 3600.0,
    )
    val shutdownSeconds: Int = 60,
    @Setting("Section of the entry role; absent when the process is no entry.")
    val entry: EntrySettings? = null,
    @Setting("Section of the forwarder role; absent when the process is no forwarder.")
    val forwarder: ForwarderSettings? = null,
    @Setting("Section of the sidecar role; absent when the process is no sidecar.")
    val sidecar: SidecarSettings? = null,
    @Setting("Section of the controller role; absent when the process is no controller.")
    val controller: ControllerSettings? = null,
)

/** Form of log lines on standard output. */
@Serializable
enum class LogFormat {
    /** For people. */
    @SerialName("text")
    TEXT,

    /** One JSON object a line. */
    @SerialName("json")
    JSON,
}

/**
 * Name and peer address of one controller.
 *
 * @property operators address of its operators' interface, told to operators who called another
 *   controller than the leader; not told when null
 */
@Serializable
data class ControllerAddress(
    @Setting("Name of the controller process.")
    val name: ProcessName,
    @Setting("IP number and port of its listener for processes of the fleet.")
    val address: NetworkAddress,
    @Setting(
        "IP number and port of its operators' interface, told to operators who called another " +
            "controller than the leader.",
    )
    val operators: NetworkAddress? = null,
)

/** Settings of the entry role. */
@Serializable
data class EntrySettings(
    @Setting("IP number and port of the listener for callers.")
    val listen: NetworkAddress,
    @Setting(
        "Largest request body that is accepted.",
        unit = "bytes",
        minimum = 1024.0,
        maximum = 8_000_000.0,
    )
    val maximumBodyBytes: Int = 4_194_304,
    @Setting("Attempts that one request may use.", minimum = 1.0, maximum = 20.0)
    val maximumAttempts: Int = 4,
    @Setting("Retries allowed as a share of requests.", minimum = 0.0, maximum = 1.0)
    val retryBudget: Double = 0.2,
    @Setting("Placement policy by name.")
    val placement: String = "bounded-affinity",
    @Setting(
        "Time in a shutdown between becoming unready and refusing new requests.",
        unit = "milliseconds",
        minimum = 0.0,
        maximum = 60_000.0,
    )
    val unreadyMilliseconds: Long = 1_000,
)

/** Settings of the forwarder role: an entry that forwards by host and path. */
@Serializable
data class ForwarderSettings(
    @Setting("IP number and port of the listener for callers.")
    val listen: NetworkAddress,
    @Setting("IP number and port where the platform asks whether the process takes callers.")
    val readiness: NetworkAddress,
    @Setting("IP number and port of the platform's list of targets.")
    val targetList: NetworkAddress,
    @Setting(
        "Time from a stop signal until the platform kills the process.",
        unit = "seconds",
        minimum = 1.0,
        maximum = 3600.0,
    )
    val graceSeconds: Int = 8,
    @Setting(
        "Extra arrivals at a service allowed as a share of its requests, over all entries.",
        minimum = 0.0,
        maximum = 1.0,
    )
    val retryRatio: Double = 0.2,
    @Setting(
        "Extra arrivals at a service allowed beside the share, over all entries.",
        minimum = 0.0,
        maximum = 100_000.0,
    )
    val retrySlack: Int = 10,
    @Setting(
        "Time over which extra arrivals are counted.",
        unit = "seconds",
        minimum = 1.0,
        maximum = 600.0,
    )
    val retryWindowSeconds: Int = 10,
    @Setting(
        "Load bound of a model engine as a multiple of the mean of its service.",
        minimum = 1.0,
        maximum = 100.0,
    )
    val loadMultiple: Double = 2.0,
)

/** Settings of the sidecar role. */
@Serializable
data class SidecarSettings(
    @Setting("Name of the target that the sidecar stands beside.")
    val target: TargetName,
    @Setting("IP number and port of the listener for entries.")
    val listen: NetworkAddress,
    @Setting("Base URL of the target, by IP number.")
    val targetUrl: String,
    @Setting("Requests that may wait at the sidecar.", minimum = 0.0, maximum = 10_000.0)
    val maximumQueue: Int = 64,
    @Setting(
        "Time that a request may wait at the sidecar.",
        unit = "milliseconds",
        minimum = 0.0,
        maximum = 600_000.0,
    )
    val queueMilliseconds: Long = 10_000,
)

/** Settings of the controller role. */
@Serializable
data class ControllerSettings(
    @Setting("IP number and port of the listener for processes of the fleet.")
    val listen: NetworkAddress,
    @Setting("IP number and port of the listener for operators; none when null.")
    val operators: NetworkAddress? = null,
    @Setting("Folder for the replicated log and snapshots; used by one process at a time.")
    val dataFolder: String,
    @Setting(
        "Length of the leases that sidecars hold.",
        unit = "milliseconds",
        minimum = 500.0,
        maximum = 60_000.0,
    )
    val leaseMilliseconds: Long = 3_000,
    @Setting(
        "Shortest time without a leader's message before an election.",
        unit = "milliseconds",
        minimum = 50.0,
        maximum = 60_000.0,
    )
    val electionMilliseconds: Long = 600,
    @Setting(
        "Time between a leader's heartbeats.",
        unit = "milliseconds",
        minimum = 10.0,
        maximum = 10_000.0,
    )
    val heartbeatMilliseconds: Long = 150,
    @Setting(
        "Log entries after which a snapshot replaces them.",
        minimum = 16.0,
        maximum = 1_000_000.0,
    )
    val snapshotEntries: Int = 4_096,
    @Setting("Base URL of the platform's instance list; not polled when null.")
    val platformUrl: String? = null,
    @Setting(
        "Whether controllers are named by their peer addresses and members are replaced without " +
            "an operator.",
    )
    val automaticMembers: Boolean = false,
    @Setting("Whether this controller may found a cluster; false for one that joins or rejoins.")
    val mayFound: Boolean = true,
    @Setting(
        "Controllers that may be lost at once; with automatic members, twice as many and one are " +
            "kept as voters.",
        minimum = 0.0,
        maximum = 10.0,
    )
    val toleratedLosses: Int = 1,
    @Setting("IP number and port of the platform's list of targets; not read when null.")
    val targetList: NetworkAddress? = null,
    @Setting("IP number and port of the platform's interface for routing; none when null.")
    val routingOperators: NetworkAddress? = null,
)
