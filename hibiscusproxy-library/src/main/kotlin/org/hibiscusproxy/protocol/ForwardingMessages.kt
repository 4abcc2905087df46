package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PromptPart
import org.hibiscusproxy.forwarding.RegisteredVersions
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.RoutingDifference
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.rollout.Rollout
import org.hibiscusproxy.rollout.VersionEvidence

/** Subscribes a forwarder to routing updates, or requests updates that it lacks. */
@Serializable
@SerialName("fq")
data class RoutingRequest(@SerialName("v") val knownRevision: Long) : ControlMessage()

/** Complete routing at [revision]; [configuration] is null before the first is published. */
@Serializable
@SerialName("fu")
data class RoutingUpdate(
    @SerialName("v") val revision: Long,
    @SerialName("c") val configuration: RoutingConfiguration?,
    @SerialName("e") val drained: Set<DataCenterName>,
    @SerialName("o") val rollouts: List<Rollout> = emptyList(),
) : ControlMessage()

/**
 * Incremental update from [base] to [revision]; [difference] is null if only drains or rollouts
 * changed.
 */
@Serializable
@SerialName("fd")
data class RoutingChange(
    @SerialName("b") val base: Long,
    @SerialName("v") val revision: Long,
    @SerialName("d") val difference: RoutingDifference?,
    @SerialName("e") val drained: Set<DataCenterName>,
    @SerialName("o") val rollouts: List<Rollout> = emptyList(),
) : ControlMessage()

/**
 * Periodic message with the revision that a controller has applied.
 *
 * @property isLeading whether the controller is the leader, which collects the forwarders'
 * load reports
 * @property controllers all members of the control cluster
 */
@Serializable
@SerialName("fc")
data class RoutingCurrent(
    @SerialName("v") val revision: Long,
    @SerialName("l") val isLeading: Boolean,
    @SerialName("m") val controllers: List<ProcessName>,
) : ControlMessage()

/**
 * Times of a list of targets on the clock of the controller that sends it, in milliseconds since
 * its process started.
 *
 * @property readAtMilliseconds when the controller began to read the list
 * @property sentAtMilliseconds when the controller sent the list
 */
@Serializable
data class ListTimes(
    @SerialName("r") val readAtMilliseconds: Long,
    @SerialName("s") val sentAtMilliseconds: Long,
)

/**
 * The list of targets that this controller last read from the platform.
 *
 * @property versions versions that the controllers have registered
 * @property times when the list was read and sent; null from a build that does not tell
 */
@Serializable
@SerialName("ft")
data class TargetList(
    @SerialName("t") val targets: List<DiscoveredTarget>,
    @SerialName("v") val versions: RegisteredVersions = RegisteredVersions(),
    @SerialName("c") val times: ListTimes? = null,
) : ControlMessage()

/** Requests in progress at a target from one forwarder, or from all except the receiver. */
@Serializable
data class TargetUse(
    @SerialName("t") val target: TargetName,
    @SerialName("r") val running: Int,
    @SerialName("w") val pendingTokens: Long = 0,
)

/** Shared prompt parts that a forwarder sent to an engine, which caches them. */
@Serializable
data class SentPrompt(
    @SerialName("t") val target: TargetName,
    @SerialName("p") val parts: List<PromptPart>,
)

/**
 * Rate of requests that [target] states to take from all forwarders together.
 *
 * @property perSecond the rate; null if the target states none any more
 * @property ageMilliseconds time since the target stated it
 */
@Serializable
data class TargetRate(
    @SerialName("t") val target: TargetName,
    @SerialName("r") val perSecond: Double?,
    @SerialName("a") val ageMilliseconds: Long,
)

/** Requests a second for a service from one forwarder, or from all except the receiver. */
@Serializable
data class ServiceDemand(
    @SerialName("s") val service: ServiceName,
    @SerialName("r") val perSecond: Double,
)

/**
 * Requests that a forwarder has in progress, without targets that have none.
 *
 * @property prompts shared parts sent since the last report, to engines that did not have them
 * cached
 * @property rates rates that targets stated since the last report and that differ from before
 * @property demand requests for services of which a target states a rate
 * @property revision routing revision that the forwarder has applied; 0 if it does not tell
 * @property evidence counts of running rollouts that changed since the last report
 * @property pressure demand for services whose room may be short
 */
@Serializable
@SerialName("fl")
data class EntryLoad(
    @SerialName("u") val uses: List<TargetUse>,
    @SerialName("p") val prompts: List<SentPrompt> = emptyList(),
    @SerialName("r") val rates: List<TargetRate> = emptyList(),
    @SerialName("d") val demand: List<ServiceDemand> = emptyList(),
    @SerialName("v") val revision: Long = 0,
    @SerialName("e") val evidence: List<VersionEvidence> = emptyList(),
    @SerialName("c") val pressure: List<ServicePressure> = emptyList(),
) : ControlMessage()

/**
 * Sum of the requests that all other forwarders have in progress.
 *
 * @property entries number of forwarders, including those that were heard a while ago; 0 if the
 * sender has just started and may not have heard all
 * @property prompts shared parts that the other forwarders sent since the last message
 * @property rates rates of targets that the other forwarders learned of since the last message
 * @property demand sum of the demand of all other forwarders
 * @property pressure sum of the demand of all other forwarders for services whose room may be short
 */
@Serializable
@SerialName("fo")
data class FleetLoad(
    @SerialName("n") val entries: Int,
    @SerialName("u") val uses: List<TargetUse>,
    @SerialName("p") val prompts: List<SentPrompt> = emptyList(),
    @SerialName("r") val rates: List<TargetRate> = emptyList(),
    @SerialName("d") val demand: List<ServiceDemand> = emptyList(),
    @SerialName("c") val pressure: List<ServicePressure> = emptyList(),
) : ControlMessage()
