package org.hibiscusproxy.daemon.controller

import java.util.concurrent.CompletableFuture
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.PeerMessage

/** Something that the controller's worker acts on, in the order of arrival. */
internal sealed class ControllerInput {
    /** [message] arrived from the process of [session]. */
    class Received(val session: PeerSession, val message: PeerMessage) : ControllerInput()

    /** The connection of [session] ended. */
    class Disconnected(val session: PeerSession) : ControllerInput()

    /** The platform's list of instances, read while this replica led. */
    class Platform(val list: InstanceList) : ControllerInput()

    /** The list of targets that this controller has read. */
    class Targets(val targets: List<DiscoveredTarget>) : ControllerInput()

    /** A call about routing, answered by completing [reply]. */
    class Routing(val call: RoutingCall, val reply: CompletableFuture<RoutingReply>) :
        ControllerInput()

    /** The settings name [controllers] now. */
    class Contacts(val controllers: List<ProcessName>) : ControllerInput()

    /** Time has passed. */
    data object Tick : ControllerInput()

    /** An operator's call, answered by completing [reply]. */
    class Operator(val request: OperatorRequest, val reply: CompletableFuture<OperatorReply>) :
        ControllerInput()
}
