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
 *
 * @property administration where `/health`, `/ready` and `/metrics` are served
 * @property controllers the fleet's controllers, by name, with the address of their peer listener
 * @property fleetKeyFile file with the key that all processes and operators share
 * @property eventFile file that takes the process's events for the timeline; none when null
 */
@Serializable
data class Settings(
    val name: ProcessName,
    val dataCenter: DataCenterName,
    val administration: NetworkAddress,
    val fleetKeyFile: String,
    val controllers: List<ControllerAddress>,
    val eventFile: String? = null,
    val logFormat: LogFormat = LogFormat.TEXT,
    val shutdownSeconds: Int = 60,
    val entry: EntrySettings? = null,
    val sidecar: SidecarSettings? = null,
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
    val name: ProcessName,
    val address: NetworkAddress,
    val operators: NetworkAddress? = null,
)

/** Settings of the entry role. */
@Serializable
data class EntrySettings(
    val listen: NetworkAddress,
    val maximumBodyBytes: Int = 4_194_304,
    val maximumAttempts: Int = 4,
    /** Retries allowed as a share of requests, 0 to 1. */
    val retryBudget: Double = 0.2,
    /** Placement policy by name, see the operators' page. */
    val placement: String = "bounded-affinity",
)

/** Settings of the sidecar role. */
@Serializable
data class SidecarSettings(
    val target: TargetName,
    val listen: NetworkAddress,
    /** Base URL of the target, by IP number. */
    val targetUrl: String,
    val maximumQueue: Int = 64,
    val queueMilliseconds: Long = 10_000,
)

/** Settings of the controller role. */
@Serializable
data class ControllerSettings(
    /** Listener for other processes of the fleet. */
    val listen: NetworkAddress,
    /** Listener for operators. */
    val operators: NetworkAddress,
    val dataFolder: String,
    val leaseMilliseconds: Long = 3_000,
    val electionMilliseconds: Long = 600,
    val heartbeatMilliseconds: Long = 150,
    val snapshotEntries: Int = 4_096,
    /** Base URL of the platform's instance list; not polled when null. */
    val platformUrl: String? = null,
)
