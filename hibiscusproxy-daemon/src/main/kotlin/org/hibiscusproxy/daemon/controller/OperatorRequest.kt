package org.hibiscusproxy.daemon.controller

import kotlin.time.Duration
import org.hibiscusproxy.consensus.MembershipChange
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName

/** An operator's call, as queued for the worker. */
internal sealed class OperatorRequest {
    /** Make the change returned by [build] and wait up to [wait] for it to be in force. */
    class Change(val wait: Duration, val build: (FleetInstant) -> ChangeCommand) :
        OperatorRequest()

    /** Return the fleet's state. */
    data object ReadState : OperatorRequest()

    /** Return the outcome of [change] and wait up to [wait] for it to be in force. */
    class ReadChange(val change: ChangeIdentifier, val wait: Duration) : OperatorRequest()

    /** Return this replica's status. */
    data object ReadStatus : OperatorRequest()

    /** Forward an order to the engine of [target]. */
    class Order(
        val change: ChangeIdentifier,
        val target: TargetName,
        val kind: String,
        val value: String,
    ) : OperatorRequest()

    /** Change the members of the consensus cluster. */
    class ChangeMembers(val change: MembershipChange) : OperatorRequest()
}

/** Answer to an [OperatorRequest]. */
internal sealed class OperatorReply {
    /** Outcome of a change. */
    class Change(val report: ChangeReport) : OperatorReply()

    /** The fleet's state. */
    class State(val fleet: FleetState) : OperatorReply()

    /** This replica's status. */
    class Status(val report: StatusReport) : OperatorReply()

    /** Outcome of an order. */
    class Order(val report: OrderReport) : OperatorReply()

    /** The request failed, or its outcome is unknown. */
    class Failed(
        val type: OperatorErrorType,
        val message: String,
        val leader: ProcessName? = null,
    ) : OperatorReply()
}
