package org.hibiscusproxy.daemon.command

import kotlin.system.exitProcess
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.hibiscusproxy.daemon.settings.SettingsPage

/** `settings-page`: prints the settings reference as Markdown. */
@OptIn(ExperimentalCli::class)
class SettingsPageCommand :
    Subcommand("settings-page", "Print the settings reference as Markdown") {
    override fun execute() {
        print(SettingsPage.render())
        exitProcess(ExitCode.DONE.number)
    }
}
