package org.hibiscusproxy.control

import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName

/** Objects and command builders for tests of the control state. */
internal object ControlFixture {
    val lj = DataCenterName("lj")
    val mb = DataCenterName("mb")
    val booking = ServiceName("booking")

    /** Three targets `t1`, `t2` in data centre `lj` and `t3` in `mb`. */
    val objects = FleetObjects(
        services = listOf(Service(booking, ServiceKind.Plain())),
        dataCenters = listOf(DataCenter(lj, "eu"), DataCenter(mb, "eu")),
        targets = listOf(target(1, lj), target(2, lj), target(3, mb)),
    )

    fun target(number: Int, dataCenter: DataCenterName) = Target(
        TargetName("t$number"),
        booking,
        dataCenter,
        NetworkAddress("127.0.0.1", 9000 + number),
    )

    fun publish(
        change: String,
        basedOn: Long,
        objects: FleetObjects = this.objects,
        at: Long = 0,
    ) = ChangeCommand.PublishObjects(ChangeIdentifier(change), basedOn, objects, FleetInstant(at))

    fun dataCenter(change: String, name: DataCenterName, state: OperationalState) =
        ChangeCommand.SetDataCenterState(
            ChangeIdentifier(change),
            name,
            state,
            FleetInstant.ZERO,
        )

    fun ControlState.run(command: ControlCommand): ControlResult =
        ControlCodec.decodeResult(apply(0, ControlCodec.encode(command)))

    fun ControlState.change(command: ChangeCommand): ChangeOutcome =
        (run(command) as ControlResult.Change).outcome
}
