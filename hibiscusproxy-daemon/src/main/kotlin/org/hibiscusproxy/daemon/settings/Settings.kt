package org.hibiscusproxy.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName

/**
 * Settings of one process, read from a JSON file with comments. A process runs each role whose
 * section is present.
 */
@Serializable
data class Settings(
    @Setting("Name of the process, unique in the fleet.")
    val name: ProcessName,
    @Setting("Name of the data centre that the process runs in.")
    val dataCenter: DataCenterName,
    @Setting(
        "IP address and port where /health, /ready and /metrics are served. A forwarder serves " +
            "them at its readiness address instead.",
    )
    val administration: NetworkAddress? = null,
    @Setting("File with the key that all processes and operators of the fleet share.")
    val fleetKeyFile: String,
    @Setting("The fleet's controllers: name and peer address of each.")
    val controllers: List<ControllerAddress>,
    @Setting(
        "Port on which every controller listens for processes of the fleet, when the names and " +
            "addresses of controllers refer to a different interface; otherwise null.",
        minimum = 1.0,
        maximum = 65_535.0,
    )
    val controllerPeerPort: Int? = null,
    @Setting(
        "Time without contact after which a process is considered lost; null for the default " +
            "timeouts of connections between processes.",
        unit = "milliseconds",
        minimum = 300.0,
        maximum = 60_000.0,
    )
    val contactMilliseconds: Double? = null,
    @Setting("File to which the process writes its timeline events; none when null.")
    val eventFile: String? = null,
    @Setting("Format of log lines on standard output: text or json.")
    val logFormat: LogFormat = LogFormat.TEXT,
    @Setting(
        "Time that a graceful shutdown waits for requests in progress to finish.",
        unit = "seconds",
        minimum = 0.0,
        maximum = 3600.0,
    )
    val shutdownSeconds: Int = 60,
    @Setting("Section of the entry role; absent when the process is not an entry.")
    val entry: EntrySettings? = null,
    @Setting("Section of the forwarder role; absent when the process is not a forwarder.")
    val forwarder: ForwarderSettings? = null,
    @Setting("Section of the sidecar role; absent when the process is not a sidecar.")
    val sidecar: SidecarSettings? = null,
    @Setting("Section of the controller role; absent when the process is not a controller.")
    val controller: ControllerSettings? = null,
) {
    /** Whether the process runs one role. */
    val hasOneRole: Boolean
        get() = listOfNotNull(entry, forwarder, sidecar, controller).size == 1
}

/** Format of log lines on standard output. */
@Serializable
enum class LogFormat {
    /** Human-readable lines. */
    @SerialName("text")
    TEXT,

    /** One JSON object per line. */
    @SerialName("json")
    JSON,
}

/**
 * Name and peer address of one controller.
 *
 * @property operators address of its operator interface, to which other controllers refer operators
 *   while this controller is the leader; no referral when null
 */
@Serializable
data class ControllerAddress(
    @Setting("Name of the controller process.")
    val name: ProcessName,
    @Setting("IP address and port of its listener for processes of the fleet.")
    val address: NetworkAddress,
    @Setting(
        "IP address and port of its operator interface, to which other controllers refer " +
            "operators while this controller is the leader.",
    )
    val operators: NetworkAddress? = null,
)

/** Settings of the entry role. */
@Serializable
data class EntrySettings(
    @Setting("IP address and port of the listener for callers.")
    val listen: NetworkAddress,
    @Setting(
        "Maximum size of a request body.",
        unit = "bytes",
        minimum = 1024.0,
        maximum = 8_000_000.0,
    )
    val maximumBodyBytes: Int = 4_194_304,
    @Setting("Maximum number of attempts per request.", minimum = 1.0, maximum = 20.0)
    val maximumAttempts: Int = 4,
    @Setting("Maximum ratio of retries to requests.", minimum = 0.0, maximum = 1.0)
    val retryBudget: Double = 0.2,
    @Setting("Name of the placement policy.")
    val placement: String = "bounded-affinity",
    @Setting(
        "Time between becoming unready and refusing new requests during a shutdown.",
        unit = "milliseconds",
        minimum = 0.0,
        maximum = 60_000.0,
    )
    val unreadyMilliseconds: Long = 1_000,
)

/** Settings of the forwarder role: an entry that forwards by host and path. */
@Serializable
data class ForwarderSettings(
    @Setting("IP address and port of the listener for callers.")
    val listen: NetworkAddress,
    @Setting("IP address and port where the platform checks whether the process is ready.")
    val readiness: NetworkAddress,
    @Setting("IP address and port of the platform's list of targets.")
    val targetList: NetworkAddress,
    @Setting(
        "Time from a stop signal until the platform kills the process.",
        unit = "seconds",
        minimum = 1.0,
        maximum = 3600.0,
    )
    val graceSeconds: Double = 8.0,
    @Setting(
        "Extra arrivals at a service allowed as a ratio to its requests, over all entries.",
        minimum = 0.0,
        maximum = 1.0,
    )
    val retryRatio: Double = 0.2,
    @Setting(
        "Extra arrivals at a service allowed in addition to the ratio, over all entries.",
        minimum = 0.0,
        maximum = 100_000.0,
    )
    val retrySlack: Double = 10.0,
    @Setting(
        "Time over which extra arrivals are counted.",
        unit = "seconds",
        minimum = 1.0,
        maximum = 600.0,
    )
    val retryWindowSeconds: Double = 10.0,
    @Setting(
        "Second attempts at slow targets, as a ratio to the repeatable requests of a service; " +
            "none when 0.",
        minimum = 0.0,
        maximum = 1.0,
    )
    val secondAttemptShare: Double = 0.0,
    @Setting(
        "Load bound of a model engine as a multiple of the mean of its service.",
        minimum = 1.0,
        maximum = 100.0,
    )
    val loadMultiple: Double = 2.0,
    @Setting(
        "Share of the requests of a service that a version under trial may get, over all entries.",
        minimum = 0.0,
        maximum = 1.0,
    )
    val exposureShare: Double = 0.1,
    @Setting(
        "Requests that a version under trial may get in addition to the share, over all entries.",
        minimum = 0.0,
        maximum = 100_000.0,
    )
    val exposureSlack: Double = 50.0,
    @Setting(
        "Memory for requests that are received and unread answers of all callers; null for a " +
            "quarter of the maximum heap, at least 6291456.",
        unit = "bytes",
        minimum = 1_048_576.0,
        maximum = 1e12,
    )
    val callerMemoryBytes: Long? = null,
    @Setting(
        "Number of descriptors that the process may open; null for the limit of the system.",
        minimum = 64.0,
        maximum = 1_000_000.0,
    )
    val maximumDescriptors: Int? = null,
    @Setting(
        "Maximum number of open connections of callers; null for half of the process's limit of " +
            "open descriptors less 200.",
        minimum = 1.0,
        maximum = 1_000_000.0,
    )
    val maximumCallerConnections: Int? = null,
)

/** Settings of the sidecar role. */
@Serializable
data class SidecarSettings(
    @Setting("Name of the target that the sidecar serves.")
    val target: TargetName,
    @Setting("IP address and port of the listener for entries.")
    val listen: NetworkAddress,
    @Setting("Base URL of the target, with an IP address as host.")
    val targetUrl: String,
    @Setting("Maximum number of queued requests at the sidecar.", minimum = 0.0, maximum = 10_000.0)
    val maximumQueue: Int = 64,
    @Setting(
        "Maximum time that a request waits in the queue of the sidecar.",
        unit = "milliseconds",
        minimum = 0.0,
        maximum = 600_000.0,
    )
    val queueMilliseconds: Long = 10_000,
)

/** Settings of the controller role. */
@Serializable
data class ControllerSettings(
    @Setting("IP address and port of the listener for processes of the fleet.")
    val listen: NetworkAddress,
    @Setting("IP address and port of the listener for operators; none when null.")
    val operators: NetworkAddress? = null,
    @Setting(
        "Folder for the replicated log and snapshots; used by one process at a time. If empty, " +
            "the controller stores nothing, never becomes a member and only names the others.",
    )
    val dataFolder: String,
    @Setting(
        "Duration of the leases granted to sidecars.",
        unit = "milliseconds",
        minimum = 500.0,
        maximum = 60_000.0,
    )
    val leaseMilliseconds: Long = 3_000,
    @Setting(
        "Minimum time without a message from the leader before an election starts.",
        unit = "milliseconds",
        minimum = 50.0,
        maximum = 60_000.0,
    )
    val electionMilliseconds: Long = 600,
    @Setting(
        "Interval between heartbeats of the leader.",
        unit = "milliseconds",
        minimum = 10.0,
        maximum = 10_000.0,
    )
    val heartbeatMilliseconds: Long = 150,
    @Setting(
        "Number of log entries after which a snapshot replaces them.",
        minimum = 16.0,
        maximum = 1_000_000.0,
    )
    val snapshotEntries: Int = 4_096,
    @Setting("Base URL of the platform's instance list; not polled when null.")
    val platformUrl: String? = null,
    @Setting(
        "Whether controllers are named by their peer addresses and members are replaced " +
            "automatically.",
    )
    val automaticMembers: Boolean = false,
    @Setting("Whether this controller may create a new cluster; false to join or rejoin one.")
    val mayFound: Boolean = true,
    @Setting(
        "Number of simultaneous controller failures to tolerate; with automatic members, twice " +
            "as many plus one voters are kept, and with fewer voters a change waits until one " +
            "more than this number have it.",
        minimum = 0.0,
        maximum = 10.0,
    )
    val toleratedLosses: Int = 1,
    @Setting("IP address and port of the platform's list of targets; not read when null.")
    val targetList: NetworkAddress? = null,
    @Setting("IP address and port of the platform's interface for routing; none when null.")
    val routingOperators: NetworkAddress? = null,
    @Setting(
        "Share of the requests for a service that a bad version may get during a rollout.",
        minimum = 0.0,
        maximum = 1.0,
    )
    val exposureShare: Double = 0.1,
    @Setting(
        "Requests that a bad version may get during a rollout in addition to the share, over all " +
            "forwarders.",
        minimum = 0.0,
        maximum = 100_000.0,
    )
    val exposureSlack: Double = 50.0,
    @Setting(
        "Time after the 50th bad answer of a version from which it may get no more requests.",
        unit = "milliseconds",
        minimum = 100.0,
        maximum = 600_000.0,
    )
    val rollbackMilliseconds: Double = 5_000.0,
) {
    /** Whether the controller has a data folder. */
    val hasDisk: Boolean get() = dataFolder.isNotEmpty()
}
