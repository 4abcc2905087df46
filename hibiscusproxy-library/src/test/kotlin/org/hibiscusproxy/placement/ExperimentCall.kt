package org.hibiscusproxy.placement

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.hibiscusproxy.admission.AdmissionDecision
import org.hibiscusproxy.admission.AdmissionEvent
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.admission.TargetAdmission
import org.hibiscusproxy.admission.TargetReport
import org.hibiscusproxy.model.DataCenter
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.Link
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.LoadReport
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PoolLoad
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.retry.AttemptFailure
import org.hibiscusproxy.retry.RetryBudget
import org.hibiscusproxy.retry.RetryContext
import org.hibiscusproxy.retry.RetryDecision
import org.hibiscusproxy.retry.RetryPolicy

/** Placement state of one chat turn. */
internal class ExperimentCall(val turn: Turn, val entry: ExperimentEntry) {
    var plan = RoutePlan()
    var preferredTarget: TargetName? = null
    var attempts = 0
    var failures = 0
}
