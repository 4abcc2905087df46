package org.hibiscusproxy.daemon

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.hibiscusproxy.daemon.command.ApplyCommand
import org.hibiscusproxy.daemon.command.CheckCommand
import org.hibiscusproxy.daemon.command.DataCenterCommand
import org.hibiscusproxy.daemon.command.GetCommand
import org.hibiscusproxy.daemon.command.InstanceCommand
import org.hibiscusproxy.daemon.command.MemberCommand
import org.hibiscusproxy.daemon.command.RunCommand
import org.hibiscusproxy.daemon.command.SettingsPageCommand
import org.hibiscusproxy.daemon.command.StatusCommand
import org.hibiscusproxy.daemon.command.TimelineCommand
import org.hibiscusproxy.daemon.logging.LogSetup
import org.hibiscusproxy.daemon.process.ProcessSignals

/** The commands of `hibiscusproxy`. */
internal object CommandLine {
    /** Executes the command that [arguments] name; `run` obeys [signals]. */
    @OptIn(ExperimentalCli::class)
    fun execute(arguments: Array<String>, signals: ProcessSignals) {
        LogSetup.useDirectProvider()
        val parser = ArgParser("hibiscusproxy", strictSubcommandOptionsOrder = true)
        parser.subcommands(
            RunCommand(signals),
            CheckCommand(),
            ApplyCommand(),
            GetCommand(),
            DataCenterCommand(),
            InstanceCommand(),
            StatusCommand(),
            MemberCommand(),
            TimelineCommand(),
            SettingsPageCommand(),
        )
        parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    }
}
