package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import kotlin.time.ComparableTimeMark
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.PeerMessage

/** An input of the controller's worker. Inputs are processed in the order of arrival. */
internal sealed class ControllerInput {
    /** [message] arrived from the process of [session]. */
    class Received(val session: PeerSession, val message: PeerMessage) : ControllerInput()

    /** The connection of [session] ended. */
    class Disconnected(val session: PeerSession) : ControllerInput()

    /** The platform's list of instances, read while this replica was the leader. */
    class Platform(val list: InstanceList) : ControllerInput()

    /** The platform's list of targets, whose read began at [readAt]. */
    class Targets(val targets: List<DiscoveredTarget>, val readAt: ComparableTimeMark) :
        ControllerInput()

    /** A routing call, answered by completing [reply]. */
    class Routing(val call: RoutingCall, val reply: CompletableFuture<RoutingReply>) :
        ControllerInput()

    /** The reloaded settings list [controllers]. */
    class Contacts(val controllers: List<ProcessName>) : ControllerInput()

    /** The tick interval has elapsed. */
    data object Tick : ControllerInput()

    /** An operator's call, answered by completing [reply]. */
    class Operator(val request: OperatorRequest, val reply: CompletableFuture<OperatorReply>) :
        ControllerInput()
}
