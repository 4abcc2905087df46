package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hibiscusproxy.daemon.logging.LogSetup
import org.hibiscusproxy.daemon.process.EndCause
import org.hibiscusproxy.daemon.process.EndDeadline
import org.hibiscusproxy.daemon.process.FailureHandler
import org.hibiscusproxy.daemon.process.FleetProcess
import org.hibiscusproxy.daemon.process.FleetProcessFactory
import org.hibiscusproxy.daemon.process.PlatformAdapters
import org.hibiscusproxy.daemon.process.ProcessPhase
import org.hibiscusproxy.daemon.process.ProcessSignals
import org.hibiscusproxy.daemon.process.SettingsWatcher
import org.hibiscusproxy.daemon.process.StartFailure
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SettingsFile
import org.hibiscusproxy.daemon.settings.isIncomplete
import org.slf4j.LoggerFactory

/** `run`: runs one process of the fleet until it receives SIGTERM or SIGINT. */
@OptIn(ExperimentalCli::class)
class RunCommand(
    private val signals: ProcessSignals,
    private val adapters: PlatformAdapters = PlatformAdapters(),
) : Subcommand("run", "Run one process with the roles of its settings file") {
    private val file by argument(ArgType.String, "settings", "Settings file, JSON with comments")

    override fun execute() {
        val settingsFile = SettingsFile(Path.of(file))
        val settings = readSettings(settingsFile)
        LogSetup.apply(settings.logFormat)
        signals.startLog()
        val failures = FailureHandler(signals.end, settings.hasOneRole) { cause ->
            end(ExitCode.REFUSED, cause.text)
        }
        Thread.setDefaultUncaughtExceptionHandler(failures)
        EndDeadline(signals.end, EndDeadline.of(settings)).start()
        try {
            run(
                settings,
                settingsFile,
                FleetProcessFactory(settings, adapters, failures::onRoleFailure),
            )
        } catch (failure: Throwable) {
            try {
                logger.error("process: Uncaught failure.", failure)
            } finally {
                end(ExitCode.REFUSED, "uncaught ${failure.javaClass.simpleName}")
            }
        }
    }

    private fun run(settings: Settings, settingsFile: SettingsFile, factory: FleetProcessFactory) {
        val process = create(factory)
        start(factory, process)?.let(::endAfterFailedStart)
        if (signals.end.cause == null) {
            signals.phase = ProcessPhase.RUNNING
            SettingsWatcher(settingsFile, signals, process::reload).start()
        }
        val cause = signals.end.await()
        signals.phase = ProcessPhase.STOPPING
        val code = shutDown(process, settings)
        end(if (cause is EndCause.Signalled) code else ExitCode.REFUSED, cause.text)
    }

    private fun readSettings(settingsFile: SettingsFile): Settings =
        awaitComplete("Settings are", settingsFile::read, { it.isIncomplete }) {
            it.first().describe()
        }.getOrElse { faults ->
            faults.forEach { System.err.println("$file: ${it.describe()}") }
            end(ExitCode.USAGE, "invalid settings")
        }

    private fun create(factory: FleetProcessFactory): FleetProcess =
        awaitComplete("The fleet key is", factory::create, { it is StartFailure.BadKey }) {
            it.message
        }.getOrElse(::endAfterFailedStart)

    /** Reads a file; for a limited time again while it is missing or incomplete. */
    private fun <T, F> awaitComplete(
        subject: String,
        read: () -> Result<T, F>,
        isIncomplete: (F) -> Boolean,
        describe: (F) -> String,
    ): Result<T, F> {
        val startedAt = TimeSource.Monotonic.markNow()
        var isLogged = false
        while (true) {
            val result = read()
            val failure = result.getError() ?: return result
            if (!isIncomplete(failure) || startedAt.elapsedNow() > INCOMPLETE_LIMIT) return result
            if (!isLogged) {
                val cause = describe(failure)
                logger.warn(
                    "process: {} incomplete, waiting for {}. {}",
                    subject,
                    INCOMPLETE_LIMIT,
                    cause,
                )
                isLogged = true
            }
            val cause = signals.end.await(INCOMPLETE_RETRY_MILLISECONDS) ?: continue
            end(ExitCode.DONE, cause.text)
        }
    }

    /** Starts [process] until its end is requested; returns why it could not be started. */
    private fun start(factory: FleetProcessFactory, process: FleetProcess): StartFailure? =
        runBlocking {
            val start = async { factory.start(process) }
            signals.end.onMade { start.cancel() }
            try {
                start.await().getError()
            } catch (_: CancellationException) {
                null
            }
        }

    private fun endAfterFailedStart(failure: StartFailure): Nothing {
        logger.error("process: Startup failed. {}", failure.message)
        end(ExitCode.REFUSED, "failed start")
    }

    private fun shutDown(process: FleetProcess, settings: Settings): ExitCode {
        val aborted = runBlocking { process.shutDown(settings.shutdownSeconds.seconds) }
        return if (aborted == 0) ExitCode.DONE else ExitCode.REFUSED
    }

    /** Ends the process with [code] and logs [cause]. */
    private fun end(code: ExitCode, cause: String): Nothing {
        // Without memory the line cannot be written; the process has to end all the same.
        try {
            logger.info("process: Ends with exit code {}, cause=\"{}\".", code.number, cause)
        } finally {
            Runtime.getRuntime().halt(code.number)
        }
        error("the process goes on after its end")
    }

    private companion object {
        /** Far longer than a file is being written. */
        val INCOMPLETE_LIMIT = 5.seconds
        const val INCOMPLETE_RETRY_MILLISECONDS = 100L
        val logger = LoggerFactory.getLogger(RunCommand::class.java)
    }
}
