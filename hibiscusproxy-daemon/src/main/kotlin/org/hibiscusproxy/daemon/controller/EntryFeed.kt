package org.hibiscusproxy.daemon.controller

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.forwarding.DiscoveredTarget
import org.hibiscusproxy.forwarding.RoutingConfiguration
import org.hibiscusproxy.forwarding.RoutingDifference
import org.hibiscusproxy.forwarding.SentPromptQueue
import org.hibiscusproxy.forwarding.StatedRateQueue
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.ControlMessage
import org.hibiscusproxy.protocol.EntryLoad
import org.hibiscusproxy.protocol.FleetLoad
import org.hibiscusproxy.protocol.ListTimes
import org.hibiscusproxy.protocol.RoutingChange
import org.hibiscusproxy.protocol.RoutingCurrent
import org.hibiscusproxy.protocol.RoutingRequest
import org.hibiscusproxy.protocol.RoutingUpdate
import org.hibiscusproxy.protocol.ServiceDemand
import org.hibiscusproxy.protocol.ServicePressure
import org.hibiscusproxy.protocol.TargetList
import org.hibiscusproxy.protocol.TargetUse
import org.hibiscusproxy.rollout.EvidenceLedger
import org.hibiscusproxy.rollout.EvidenceSource

/**
 * Publishes updates to the entries that forward by host and path: the routing that this controller
 * has applied, the latest list of targets and, while this controller is the leader, the load and
 * the sent prompts of all other entries. Entries subscribe to every controller and keep the newest
 * revision, so that a partitioned controller does not delay them. An entry that knows no routing
 * gets it only from a leader that a majority confirmed after the entry asked, because a controller
 * may lack acknowledged changes, for example after a restart. Used by the worker only.
 *
 * @param confirmedAt latest time at which a majority accepted this controller as the leader; null
 * while it does not lead
 */
internal class EntryFeed(
    private val state: ControlState,
    private val time: TimeSource.WithComparableMarks,
    private val confirmedAt: () -> ComparableTimeMark?,
    private val controllers: () -> List<ProcessName>,
    private val initialMessages: () -> List<ControlMessage> = { emptyList() },
) {
    /** Answers during rollouts that entries reported to this controller. */
    val evidence = EvidenceLedger(time)

    private val subscribers = LinkedHashMap<PeerSession, Subscriber>()
    private val startedAt = time.markNow()
    private var targets: ReadTargets? = null
    private var sentVersions = 0L
    private var announcedAt = time.markNow()
    private var loadSentAt = time.markNow()

    private val entryCount = EntryCount(time)

    private val history = LinkedHashMap<Long, Revision>()

    /** Changes to the latest revision by base revision, each sent to many entries. */
    private val changes = HashMap<Long, RoutingChange>()
    private var fullUpdate: RoutingUpdate? = null
    private var announcedRevision = 0L
    private var wasLeading = false

    private val isLeading: Boolean get() = confirmedAt() != null

    fun subscribe(session: PeerSession, request: RoutingRequest) {
        entryCount.recordContact(session.remote.process)
        val isNew = session !in subscribers
        val subscriber = subscribers.getOrPut(session) { Subscriber(session) }
        if (isNew) {
            // Before routing and targets, with which an entry begins to serve.
            initialMessages().forEach(session::send)
            session.send(current())
            targets?.let { session.send(targetList(it)) }
        }
        subscriber.request(request.knownRevision)
    }

    fun disconnected(session: PeerSession) {
        subscribers.remove(session)?.let { entryCount.recordContact(session.remote.process) }
    }

    fun report(session: PeerSession, load: EntryLoad) {
        val source = EvidenceSource(session.remote.process, session.remote.incarnation)
        evidence.record(source, load.evidence)
        val subscriber = subscribers[session] ?: return
        subscriber.uses = load.uses.associateBy { it.target }
        subscriber.appliedRevision = load.revision
        subscriber.reportedAt = time.markNow()
        val others = subscribers.values.filter { it !== subscriber }
        subscriber.demand = load.demand.associate { it.service to it.perSecond }
        subscriber.pressure = load.pressure
        load.prompts.forEach { sent -> others.forEach { it.unsentPrompts.add(sent) } }
        load.rates.forEach { rate -> others.forEach { it.unsentRates.add(rate) } }
    }

    /**
     * Whether the entries that report have all applied [revision] and none of them has a request
     * in progress at a target for which [isOld] holds. False if no entry reports.
     */
    fun hasMoved(revision: Long, isOld: (TargetName) -> Boolean): Boolean {
        val now = time.markNow()
        val reporting = subscribers.values.filter { it.isReporting(now) }
        return reporting.isNotEmpty() && reporting.all { subscriber ->
            subscriber.appliedRevision >= revision &&
                subscriber.uses.values.none { it.running > 0 && isOld(it.target) }
        }
    }

    /** Sends [message] to all subscribers. */
    fun broadcast(message: ControlMessage) = subscribers.keys.forEach { it.send(message) }

    /** Stores [newTargets], whose read began at [readAt], and sends them to all subscribers. */
    fun updateTargets(newTargets: List<DiscoveredTarget>, readAt: ComparableTimeMark) {
        targets = ReadTargets(newTargets, readAt)
        sendTargets()
    }

    private fun sendTargets() {
        val list = targetList(targets ?: return)
        sentVersions = list.versions.revision
        subscribers.keys.forEach { it.send(list) }
    }

    private fun targetList(read: ReadTargets) = TargetList(
        read.targets,
        state.registeredVersions,
        ListTimes(
            readAtMilliseconds = (read.readAt - startedAt).inWholeMilliseconds,
            sentAtMilliseconds = startedAt.elapsedNow().inWholeMilliseconds,
        ),
    )

    /** Sends new revisions and the periodic messages that are due. */
    fun advance() {
        recordRevision()
        if (state.registeredVersions.revision != sentVersions) sendTargets()
        val revision = state.routing.revision
        if (isLeading && !wasLeading) takeOver(revision)
        wasLeading = isLeading
        // Followers only announce the revision. Entries request it from them if the leader is slow.
        if (isLeading) {
            subscribers.values.forEach { it.pushChanges(revision) }
        }
        val now = time.markNow()
        if (now - announcedAt >= ANNOUNCEMENT_INTERVAL || announcedRevision < revision) {
            announcedAt = now
            announcedRevision = revision
            val current = current()
            subscribers.keys.forEach { it.send(current) }
        }
        if (isLeading && now - loadSentAt >= LOAD_INTERVAL) {
            loadSentAt = now
            sendLoads(now)
        }
    }

    /**
     * Announces [revision] to all entries. Most have it from the leader before, so it is sent only
     * to those that request it.
     */
    private fun takeOver(revision: Long) {
        subscribers.values.forEach { it.skipTo(revision) }
        announcedRevision = 0
    }

    private fun recordRevision() {
        val routing = state.routing
        if (routing.revision in history) return
        changes.clear()
        history[routing.revision] =
            Revision(routing.configuration, routing.document?.bytes?.size ?: 0)
        while (
            history.size > MAXIMUM_REVISIONS ||
            history.size > MINIMUM_REVISIONS &&
            history.values.sumOf { it.documentBytes } > HISTORY_BYTES
        ) {
            history.remove(history.keys.first())
        }
    }

    private fun sendLoads(now: ComparableTimeMark) {
        val reporting = subscribers.values.filter { it.isReporting(now) }
        val totals = HashMap<TargetName, TargetUse>()
        reporting.forEach { subscriber ->
            subscriber.uses.values.forEach { use -> totals.merge(use.target, use, ::sum) }
        }
        val demand = HashMap<ServiceName, Double>()
        reporting.forEach { subscriber ->
            subscriber.demand.forEach { (service, own) -> demand.merge(service, own, Double::plus) }
        }
        val connected = subscribers.keys.map { it.remote.process }
        val entries = entryCount.count(connected) ?: UNKNOWN_COUNT
        reporting.forEach {
            val pressure = reporting.filter { other ->
                other !== it
            }.flatMap { other -> other.pressure }
            it.send(
                FleetLoad(
                    entries,
                    it.withoutOwn(totals),
                    demand = it.othersOf(demand),
                    pressure = ServicePressure.sum(pressure),
                ),
            )
        }
    }

    private fun sum(first: TargetUse, second: TargetUse) = TargetUse(
        first.target,
        first.running + second.running,
        first.pendingTokens + second.pendingTokens,
    )

    private fun current() = RoutingCurrent(state.routing.revision, isLeading, controllers())

    private class ReadTargets(val targets: List<DiscoveredTarget>, val readAt: ComparableTimeMark)

    /** [configuration] takes about two to three times as much memory as its document. */
    private class Revision(val configuration: RoutingConfiguration?, val documentBytes: Int)

    private inner class Subscriber(val session: PeerSession) {
        private var sentRevision = 0L

        /** Since when an entry without routing has been waiting for it; null if it is not. */
        private var waitingSince: ComparableTimeMark? = null
        var uses: Map<TargetName, TargetUse> = emptyMap()
        var appliedRevision = 0L
        var reportedAt: ComparableTimeMark? = null
        private var sentLoad: FleetLoad? = null
        private var loadSentAt = time.markNow()
        var demand: Map<ServiceName, Double> = emptyMap()
        var pressure: List<ServicePressure> = emptyList()
        val unsentPrompts = SentPromptQueue()
        val unsentRates = StatedRateQueue(time)

        fun isReporting(now: ComparableTimeMark): Boolean =
            reportedAt.let { it != null && now - it < REPORT_LIFETIME }

        fun send(load: FleetLoad) {
            val isKnown = load == sentLoad && loadSentAt.elapsedNow() < LOAD_RESEND_INTERVAL
            if (isKnown && unsentPrompts.isEmpty && unsentRates.isEmpty) return
            sentLoad = load
            loadSentAt = time.markNow()
            session.send(load.copy(prompts = unsentPrompts.take(), rates = unsentRates.take()))
        }

        /** Sends the routing if the entry lacks it, with [known] being what it has. */
        fun request(known: Long) {
            if (known > 0) {
                waitingSince = null
                push(known)
            } else if (isLeading) {
                if (waitingSince == null) waitingSince = time.markNow()
                sendFirst()
            }
        }

        /** Sends what the entry lacks of [revision]. */
        fun pushChanges(revision: Long) {
            when {
                waitingSince != null -> sendFirst()
                sentRevision < revision && !session.isBacklogged -> push(sentRevision)
            }
        }

        /** Sends revisions up to [revision] only on request. */
        fun skipTo(revision: Long) {
            waitingSince = null
            sentRevision = maxOf(sentRevision, revision)
        }

        private fun sendFirst() {
            val since = waitingSince ?: return
            val confirmed = confirmedAt() ?: return
            if (confirmed < since || state.routing.revision == 0L) return
            waitingSince = null
            push(known = 0)
        }

        private fun push(known: Long) {
            val routing = state.routing
            sentRevision = maxOf(sentRevision, known)
            if (routing.revision <= known) return
            sentRevision = routing.revision
            session.send(change(known) ?: update())
        }

        private fun update(): ControlMessage {
            val routing = state.routing
            fullUpdate?.let { if (it.revision == routing.revision) return it }
            return RoutingUpdate(
                routing.revision,
                routing.configuration,
                routing.drained,
                routing.rollouts,
            ).also { fullUpdate = it }
        }

        private fun change(known: Long): ControlMessage? {
            changes[known]?.let { return it }
            val routing = state.routing
            val base = history[known]?.configuration ?: return null
            val next = routing.configuration ?: return null
            val difference = if (base == next) null else RoutingDifference.between(base, next)
            return RoutingChange(
                known,
                routing.revision,
                difference,
                routing.drained,
                routing.rollouts,
            ).also { changes[known] = it }
        }

        fun othersOf(demand: Map<ServiceName, Double>): List<ServiceDemand> = demand
            .map { (service, total) ->
                ServiceDemand(service, (total - (this.demand[service] ?: 0.0)).coerceAtLeast(0.0))
            }
            .sortedBy { it.service.value }

        fun withoutOwn(totals: Map<TargetName, TargetUse>): List<TargetUse> = totals.values
            .map { total ->
                val own = uses[total.target] ?: return@map total
                TargetUse(
                    total.target,
                    total.running - own.running,
                    total.pendingTokens - own.pendingTokens,
                )
            }
            .filter { it.running > 0 }
            .sortedBy { it.target.value }
    }

    private companion object {
        /** An entry that is further behind gets the whole configuration. */
        const val MAXIMUM_REVISIONS = 8

        /** Size of the documents of the revisions that are kept. */
        const val HISTORY_BYTES = 1024 * 1024

        /** The latest and the one before, so that entries that keep up get a difference. */
        const val MINIMUM_REVISIONS = 2

        /** A third of the time after which an entry considers a silent controller lost. */
        val ANNOUNCEMENT_INTERVAL = 300.milliseconds

        /** Placement tolerates loads of this age; halving it doubles the control traffic. */
        val LOAD_INTERVAL = 250.milliseconds

        /** Entries take the count of entries as unknown if they do not hear it for some seconds. */
        val LOAD_RESEND_INTERVAL = 2.seconds

        /** Loads that an entry reported longer ago are ignored. */
        val REPORT_LIFETIME = 2_000.milliseconds

        /** Number of entries in a load that does not tell it. */
        const val UNKNOWN_COUNT = 0
    }
}
