package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.consensus.Consensus
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.control.RecordStreams
import org.hibiscusproxy.control.RegisterVersions
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.ServiceVersion
import org.hibiscusproxy.protocol.StreamAnswer
import org.hibiscusproxy.protocol.StreamGroup
import org.hibiscusproxy.protocol.StreamQuery
import org.hibiscusproxy.protocol.StreamsBegun
import org.slf4j.LoggerFactory

/**
 * Knows which software version began a stream, so that any forwarder can let it go on there. The
 * leader registers the versions that the platform lists before forwarders begin streams at them,
 * and stores the streams that forwarders report while a service has several versions.
 *
 * Any controller answers from the stored streams. Only the leader, once a majority has confirmed it
 * after the query, can tell that a stream is of the only version that can have begun it, or that
 * nobody knows. Used by the worker only.
 */
internal class StreamService(
    private val log: Consensus,
    private val state: ControlState,
    private val leadership: Leadership,
    private val proposals: Proposals,
    private val time: TimeSource.WithComparableMarks,
) {
    private var listed: Set<ServiceVersion>? = null
    private val reported = ArrayDeque<StreamGroup>()
    private val queries = ArrayList<Query>()
    private var leadingSince: ComparableTimeMark? = null
    private var isRegistering = false
    private var isRecording = false

    /** Stores the versions of [targets], the platform's list. */
    fun updateTargets(targets: List<DiscoveredTarget>) {
        listed = targets.mapTo(LinkedHashSet()) { ServiceVersion(it.service, it.version) }
        propose()
    }

    fun receive(begun: StreamsBegun) {
        reported += begun.groups
        while (reported.size > MAXIMUM_GROUPS) reported.removeFirst()
        propose()
    }

    fun query(session: PeerSession, query: StreamQuery) {
        queries += Query(session, query, time.markNow())
    }

    /** Forgets the queries of a forwarder that has disconnected. */
    fun disconnected(session: PeerSession) {
        queries.removeAll { it.session === session }
    }

    /** Answers queries and, while this controller leads, proposes what has to be stored. */
    fun advance() {
        propose()
        val isLeading = leadership.active() != null
        if (!isLeading) leadingSince = null
        if (isLeading && leadingSince == null) leadingSince = time.markNow()
        queries.removeAll { it.isAnswered(isLeading) }
    }

    /** Called with each input as well, so that the same cycle makes the proposals durable. */
    private fun propose() {
        val leader = leadership.active() ?: return
        val now = leader.fleetTime(time.markNow())
        register(now)
        record(now)
    }

    private fun register(now: FleetInstant) {
        val versions = listed ?: return
        if (isRegistering || !state.needsRegistration(versions, now)) return
        isRegistering = true
        proposals.propose(RegisterVersions(versions, now)) { outcome ->
            isRegistering = false
            if (outcome is ProposalOutcome.Applied) {
                LOG.info("controller: registered versions {}", state.registeredVersions.versions)
            }
        }
    }

    private fun record(now: FleetInstant) {
        if (isRecording || reported.isEmpty()) return
        isRecording = true
        val groups = reported.toList()
        reported.clear()
        proposals.propose(RecordStreams(groups, now)) { outcome ->
            isRecording = false
            if (outcome !is ProposalOutcome.Applied) reported.addAll(0, groups)
        }
    }

    private fun Query.isAnswered(isLeading: Boolean): Boolean {
        val stored = message.stream?.let(state::streamOrigin)
        return when {
            stored != null -> answer(stored)
            isLeading && isConfirmed(arrivedAt) -> isAnsweredByLeader()
            else -> arrivedAt.elapsedNow() > QUERY_LIFETIME
        }
    }

    private fun isConfirmed(since: ComparableTimeMark): Boolean =
        log.majorityContact.let { it != null && it >= since }

    private fun Query.isAnsweredByLeader(): Boolean {
        val present = listed?.filter { it.service == message.service } ?: return false
        val registered = state.registeredVersions.versions.filter { it.service == message.service }
        val only = registered.singleOrNull()?.takeIf { registered.containsAll(present) }
        return when {
            only != null -> answer(only)
            mayBeReported() -> false
            else -> answer(null)
        }
    }

    /** Whether the report of the stream may be on its way, to this leader after an earlier one. */
    private fun Query.mayBeReported(): Boolean =
        maxOf(arrivedAt, leadingSince ?: arrivedAt).elapsedNow() < REPORT_WAIT

    private fun Query.answer(origin: ServiceVersion?): Boolean {
        session.send(StreamAnswer(message.number, origin))
        return true
    }

    private class Query(
        val session: PeerSession,
        val message: StreamQuery,
        val arrivedAt: ComparableTimeMark,
    )

    private companion object {
        /** Forwarders report streams after 10 ms; storing them takes as long on a slow disk. */
        val REPORT_WAIT = 100.milliseconds

        /** Forwarders repeat queries, so only the latest need an answer. */
        val QUERY_LIFETIME = 1.seconds

        /** Groups that wait to be stored; without a leader they are reported again. */
        const val MAXIMUM_GROUPS = 10_000
        val LOG = LoggerFactory.getLogger(StreamService::class.java)
    }
}
