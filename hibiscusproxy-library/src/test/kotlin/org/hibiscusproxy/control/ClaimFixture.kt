package org.hibiscusproxy.control

import org.hibiscusproxy.control.ControlFixture.run
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.protocol.Attempt
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.ClaimOutcome
import org.hibiscusproxy.protocol.Fingerprint
import org.hibiscusproxy.protocol.Incarnation
import org.hibiscusproxy.protocol.Payload
import org.hibiscusproxy.protocol.RequestIdentifier
import org.hibiscusproxy.protocol.StoredAnswer

/** Builds and applies claim commands. Each claim has a deadline of one second. */
internal object ClaimFixture {
    private const val REMAINING_MILLISECONDS = 1_000L

    fun key(name: String) = ClaimKey(TeamName("volta"), ControlFixture.booking, name)

    fun attempt(request: String, number: Int = 1) = Attempt(RequestIdentifier(request), number)

    fun answer(text: String) = StoredAnswer(200, emptyList(), Payload.of(text))

    fun ControlState.claim(
        attempt: Attempt,
        at: Long = 0,
        entry: String = "entry-1",
        content: Long = 1,
        key: String = "k",
    ): ClaimOutcome {
        val claimant = Claimant(ProcessName(entry), Incarnation(1))
        val command = ClaimAttempt(
            key(key),
            Fingerprint(content),
            attempt,
            claimant,
            REMAINING_MILLISECONDS,
            FleetInstant(at),
        )
        return (run(command) as ControlResult.Claim).outcome
    }

    fun ControlState.release(attempt: Attempt, at: Long = 0, key: String = "k"): Boolean =
        acknowledged(ReleaseClaim(key(key), attempt, FleetInstant(at)))

    fun ControlState.complete(
        attempt: Attempt,
        answer: StoredAnswer,
        at: Long = 0,
        key: String = "k",
    ): Boolean = acknowledged(CompleteClaim(key(key), attempt, answer, FleetInstant(at)))

    /** Adds one claim in each phase. */
    fun fillClaims(state: ControlState) {
        state.claim(attempt("r1"), key = "claimed")
        state.claim(attempt("r2"), key = "released")
        state.release(attempt("r2"), key = "released")
        state.claim(attempt("r3"), key = "completed")
        state.complete(attempt("r3"), answer("done"), key = "completed")
        state.claim(attempt("r4"), key = "large")
        state.complete(attempt("r4"), answer("x".repeat(70_000)), key = "large")
    }

    private fun ControlState.acknowledged(command: ControlCommand): Boolean =
        (run(command) as ControlResult.ClaimAcknowledged).accepted
}
