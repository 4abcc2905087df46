package org.hibiscusproxy.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.PromptPart
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.RoutingDifference
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName

/** An entry that forwards by host and path subscribes, or asks again for what it lacks. */
@Serializable
@SerialName("fq")
data class RoutingRequest(@SerialName("v") val knownRevision: Long) : ControlMessage()

/** Routing at [revision]; [configuration] is null while none was published. */
@Serializable
@SerialName("fu")
data class RoutingUpdate(
    @SerialName("v") val revision: Long,
    @SerialName("c") val configuration: RoutingConfiguration?,
    @SerialName("e") val drained: Set<DataCenterName>,
) : ControlMessage()

/** Changes the routing from [base] to [revision]; [difference] is null if only drains changed. */
@Serializable
@SerialName("fd")
data class RoutingChange(
    @SerialName("b") val base: Long,
    @SerialName("v") val revision: Long,
    @SerialName("d") val difference: RoutingDifference?,
    @SerialName("e") val drained: Set<DataCenterName>,
) : ControlMessage()

/**
 * Sent at an interval: the revision that a controller has applied.
 *
 * @property isLeading whether it leads, so that it collects the entries' load reports
 * @property controllers all members of the control cluster
 */
@Serializable
@SerialName("fc")
data class RoutingCurrent(
    @SerialName("v") val revision: Long,
    @SerialName("l") val isLeading: Boolean,
    @SerialName("m") val controllers: List<ProcessName>,
) : ControlMessage()

/** The platform's list of targets as this controller has just read it. */
@Serializable
@SerialName("ft")
data class TargetList(@SerialName("t") val targets: List<DiscoveredTarget>) : ControlMessage()

/** Requests that one entry, or all entries but the receiver, have in progress at a target. */
@Serializable
data class TargetUse(
    @SerialName("t") val target: TargetName,
    @SerialName("r") val running: Int,
    @SerialName("w") val pendingTokens: Long = 0,
)

/** Shared parts of a prompt that an entry sent to an engine, which has them cached from then on. */
@Serializable
data class SentPrompt(
    @SerialName("t") val target: TargetName,
    @SerialName("p") val parts: List<PromptPart>,
)

/**
 * What an entry has in progress; targets without any are left out.
 *
 * @property prompts shared parts that it sent since its last report to engines that lacked them
 */
@Serializable
@SerialName("fl")
data class EntryLoad(
    @SerialName("u") val uses: List<TargetUse>,
    @SerialName("p") val prompts: List<SentPrompt> = emptyList(),
) : ControlMessage()

/**
 * What all other entries together have in progress, and how many entries there are.
 *
 * @property prompts shared parts that the others sent since the last message
 */
@Serializable
@SerialName("fo")
data class FleetLoad(
    @SerialName("n") val entries: Int,
    @SerialName("u") val uses: List<TargetUse>,
    @SerialName("p") val prompts: List<SentPrompt> = emptyList(),
) : ControlMessage()
