package org.hibiscusproxy.daemon.sidecar

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.channels.Channel
import org.hibiscusproxy.admission.AttemptResult
import org.hibiscusproxy.admission.TargetAdmission
import org.hibiscusproxy.daemon.BodyBudget
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.CHAT
import org.hibiscusproxy.daemon.testing.TestFleet.Companion.NORTH
import org.hibiscusproxy.daemon.transport.PeerConnection
import org.hibiscusproxy.daemon.transport.SendFailure
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.Priority
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.Target
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.Dispatch
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Hello
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.LeaseGrant
import org.hibiscusproxy.protocol.NotRunReason
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.PeerMessage
import org.hibiscusproxy.protocol.PoolLoad
import org.hibiscusproxy.protocol.RequestIdentifier

class AttemptTableTest {
    private val time = TestTimeSource()
    private val engine = TargetName("engine")
    private val admission = TargetAdmission(engine, Incarnation(1), 10, 5.seconds, time)
    private val decisions = mutableListOf<String>()
    private val running = mutableListOf<SidecarAttempt>()
    private val table = AttemptTable(
        admission,
        object : AttemptTable.Actions {
            override fun run(attempt: SidecarAttempt) {
                decisions += "run ${attempt.attempt}"
                running += attempt
            }

            override fun refuse(
                attempt: SidecarAttempt,
                reason: NotRunReason,
                retryAfter: Duration,
            ) {
                decisions += "$reason ${attempt.attempt}"
            }

            override fun droppedDuplicate(attempt: Attempt) {
                decisions += "dropped $attempt"
            }
        },
        BodyBudget(100),
    )
    private val connection = object : PeerConnection {
        override val remote = Hello(ProcessName("entry"), NORTH, Incarnation(1))
        override val incoming = Channel<PeerMessage>()

        override suspend fun send(message: PeerMessage): Result<Unit, SendFailure> = Ok(Unit)

        override fun close() = Unit
    }

    private fun offer(request: String, bytes: Int) = table.offer(
        Dispatch(
            Attempt(RequestIdentifier(request), 1),
            Incarnation(1),
            TeamName("repair"),
            CHAT,
            Priority.NORMAL,
            10_000,
            repeatable = true,
            Fingerprint(1),
            "POST",
            "/v1/chat/completions",
            emptyList(),
            Payload(ByteArray(bytes)),
        ),
        connection,
    )

    /** Guards against long prompts that exhaust the small heap of a sidecar. */
    @Test
    fun `bodies that do not fit into memory are refused for good`() {
        val target = Target(engine, CHAT, NORTH, NetworkAddress("127.0.0.1", 1), coldCapacity = 9)
        val service = Service(CHAT, ServiceKind.Chat(emptyList()))
        val objects = FleetObjects(services = listOf(service), targets = listOf(target))
        admission.configure(FleetState(1, objects))
        val pool = PoolLoad(running = 100, targets = 1)
        val lease = LeaseGrant(1, engine, 1, OperationalState.IN, 1, 3_000, pool)
        table.update { renew(lease, time.markNow()) }
        offer("a", bytes = 60)
        offer("b", bytes = 60)
        offer("b", bytes = 10)
        table.finish(running.single(), AttemptResult.COMPLETED)
        offer("c", bytes = 100)
        assertEquals(listOf("run a/1", "OVERLOADED b/1", "dropped b/1", "run c/1"), decisions)
    }
}
