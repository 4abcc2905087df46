package org.hibiscusproxy.daemon.controller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.random.asKotlinRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.consensus.FileLogStorage
import org.hibiscusproxy.consensus.LogStorage
import org.hibiscusproxy.consensus.MemoryLogStorage
import org.hibiscusproxy.consensus.ReplicatedLog
import org.hibiscusproxy.consensus.ReplicatedLogSettings
import org.hibiscusproxy.consensus.StorageFailure
import org.hibiscusproxy.control.ControlState
import org.hibiscusproxy.control.LeaseSettings
import org.hibiscusproxy.daemon.openListener
import org.hibiscusproxy.daemon.retryWhileHeld
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.settings.ControllerSettings
import org.hibiscusproxy.daemon.transport.FleetKey
import org.hibiscusproxy.daemon.transport.PeerTransport
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.timeline.EventRecorder
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * A replica of the control state with its listeners for other processes and for operators. Closing
 * it stops all of them; acknowledged changes are already on disk.
 */
class Controller private constructor(
    private val dependencies: ControllerDependencies,
    private val storage: LogStorage,
    log: ReplicatedLog,
    state: ControlState,
) : AutoCloseable {
    private val settings = dependencies.settings
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val links = ReplicaLinks(
        dependencies.controllers.filter { it.name != dependencies.name },
        dependencies.transport,
        scope,
        areNamesAddresses = settings.automaticMembers,
        dependencies.peerPort,
    )
    private val core = ControllerCore(
        dependencies.name,
        log,
        state,
        LeaseSettings(
            duration = settings.leaseMilliseconds.milliseconds,
            electionTimeout = settings.electionMilliseconds.milliseconds,
        ),
        TimeSource.Monotonic,
        dependencies.recorder,
        membership(dependencies),
        links::send,
        RolloutSettings(
            settings.exposureShare,
            settings.exposureSlack,
            settings.rollbackMilliseconds.milliseconds,
        ),
    )
    private val worker = ControllerWorker(core, TICK_INTERVAL)
    private val limits = ChangeLimits()
    private val operators = settings.operators?.let { address ->
        OperatorServer(
            address,
            CallVerifier(dependencies.key, callAddress(address)),
            dependencies.controllers.mapNotNull { c -> c.operators?.let { c.name to it } }.toMap(),
            ::submit,
        )
    }
    private val discovery = settings.targetList?.takeIf { settings.hasDisk }?.let { address ->
        TargetDiscovery(
            dependencies.ports.targetReader(address),
            TARGET_LIST_INTERVAL,
        ) { targets, readAt ->
            worker.submit(ControllerInput.Targets(targets, readAt))
        }
    }
    private var routingOperators: AutoCloseable? = null
    private val platform = settings.platformUrl?.let { url ->
        PlatformReader(url, PLATFORM_INTERVAL, core::isLeading) {
            worker.submit(ControllerInput.Platform(it))
        }
    }
    private var listener: AutoCloseable? = null

    /** Completes with the cause if the controller stops on its own, such as on a storage failure. */
    val failure: Deferred<Throwable> get() = worker.failure

    /** Address of the operators' interface, or null if there is none. */
    val operatorAddress: NetworkAddress? get() = operators?.address

    private suspend fun start() {
        worker.start(scope)
        listener = dependencies.transport.listen(settings.listen) { connection ->
            ConnectionSession(connection).run(worker::submit)
        }
        links.start()
        platform?.start(scope)
        discovery?.start(scope)
        operators?.let { server ->
            openListener("controller", server.listen) { server.start() }
        }
        routingOperators = settings.routingOperators?.let { address ->
            openListener("controller", address) {
                dependencies.ports.serveOperators(address, WorkerRoutingControl(worker, limits))
            }
        }
        LOG.info("controller: operators' interface listens at {}", operatorAddress)
    }

    /** Time for which this controller has known no leader. */
    val leaderlessTime: Duration get() = core.leaderlessTime

    /** Voters that are missing to bear the tolerated losses, as this controller knows the cluster. */
    val missingVoters: Int get() = core.missingVoters

    /** Number of running rollouts. */
    val runningRollouts: Int get() = core.runningRollouts

    /** Number of rollouts that completed while this controller led. */
    val completedRollouts: Long get() = core.completedRollouts

    /** Number of rollouts that were rolled back while this controller led. */
    val rolledBackRollouts: Long get() = core.rolledBackRollouts

    /** Adds [controllers] to the processes that this replica announces itself to. */
    fun addContacts(controllers: List<ProcessName>) {
        worker.trySubmit(ControllerInput.Contacts(controllers))
    }

    override fun close() {
        routingOperators?.close()
        operators?.close()
        listener?.close()
        runBlocking { worker.stop() }
        scope.cancel()
        platform?.close()
        discovery?.close()
        worker.close()
        storage.close()
    }

    private fun submit(request: OperatorRequest): CompletableFuture<OperatorReply> {
        val reply = CompletableFuture<OperatorReply>()
        if (!worker.trySubmit(ControllerInput.Operator(request, reply))) {
            val message = "the controller is overloaded or has stopped; nothing was done"
            reply.complete(OperatorReply.Failed(OperatorErrorType.INTERNAL, message))
        }
        return reply
    }

    companion object {
        private val TICK_INTERVAL = 20.milliseconds
        private val PLATFORM_INTERVAL = 1.seconds

        /**
         * About as long as the platform's list lags behind. Each controller polls the list, so that
         * three controllers read it three times per interval.
         */
        private val TARGET_LIST_INTERVAL = 1.seconds
        private val WILDCARD_HOSTS = setOf("0.0.0.0", "::")
        private val LOG: Logger = LoggerFactory.getLogger(Controller::class.java)

        /**
         * Opens the data folder and starts the controller.
         *
         * @return the running controller, or [StorageFailure] if the folder is damaged or in use
         */
        suspend fun start(
            dependencies: ControllerDependencies,
        ): Result<Controller, StorageFailure> {
            val random = SecureRandom().asKotlinRandom()
            val storage = openStorage(dependencies.settings, random).getOrElse { return Err(it) }
            val state = ControlState()
            val now = TimeSource.Monotonic.markNow()
            val log = ReplicatedLog.open(logSettings(dependencies), storage, state, random, now)
                .getOrElse {
                    storage.close()
                    return Err(it)
                }
            log.repair?.let { LOG.warn("controller: truncated the log during recovery, {}", it) }
            val controller = Controller(dependencies, storage, log, state)
            try {
                controller.start()
            } catch (thrown: Exception) {
                controller.close()
                throw thrown
            }
            return Ok(controller)
        }

        private suspend fun openStorage(
            settings: ControllerSettings,
            random: Random,
        ): Result<LogStorage, StorageFailure> {
            if (!settings.hasDisk) {
                LOG.info("controller: no data folder, so this controller only names the others")
                return Ok(MemoryLogStorage.ofObserver())
            }
            val identity = generateSequence { random.nextLong() }.first { it != 0L }
            val folder = Path.of(settings.dataFolder)
            return retryWhileHeld(
                "controller: cannot open $folder",
                open = { FileLogStorage.open(folder, identity) },
                cause = { it.getError() as? StorageFailure.FolderLocked },
            )
        }

        private fun logSettings(dependencies: ControllerDependencies) = ReplicatedLogSettings(
            name = dependencies.name,
            bootstrap = dependencies.controllers.map { it.name },
            mayFound = dependencies.settings.mayFound,
            heartbeatInterval = dependencies.settings.heartbeatMilliseconds.milliseconds,
            electionTimeout = dependencies.settings.electionMilliseconds.milliseconds,
            snapshotEntries = dependencies.settings.snapshotEntries,
            maximumEntryBytes = ChangeLimits().entryBytes,
            maximumPendingBytes = ChangeLimits().pendingBytes,
            toleratedLosses = dependencies.settings.toleratedLosses
                .takeIf { dependencies.settings.automaticMembers } ?: 0,
        )

        private fun membership(dependencies: ControllerDependencies): ControllerMembership =
            if (dependencies.settings.automaticMembers) {
                ControllerMembership.Automatic(dependencies.settings.toleratedLosses)
            } else {
                val names = dependencies.controllers.map { it.name }
                ControllerMembership.Listed(names.filterTo(HashSet()) { it != dependencies.name })
            }

        private fun callAddress(listen: NetworkAddress): String? =
            if (listen.host in WILDCARD_HOSTS || listen.port == 0) null else listen.toString()
    }
}

/**
 * Settings and collaborators of a [Controller].
 *
 * @property controllers all controllers of the fleet, this one included
 * @property peerPort overrides the port in the addresses of the other controllers if not null
 */
class ControllerDependencies(
    val name: ProcessName,
    val settings: ControllerSettings,
    val controllers: List<ControllerAddress>,
    val transport: PeerTransport,
    val key: FleetKey,
    val recorder: EventRecorder,
    val ports: ControllerPorts = ControllerPorts.None,
    val peerPort: Int? = null,
)
