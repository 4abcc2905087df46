package org.hibiscusproxy.daemon

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.hibiscusproxy.daemon.command.SettingsPageCommand
import org.hibiscusproxy.daemon.command.TimelineCommand

/** Starts the command line of hibiscusproxy. */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser("hibiscusproxy")
    parser.subcommands(TimelineCommand(), SettingsPageCommand())
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
