package org.hibiscusproxy.daemon.command

import kotlin.system.exitProcess
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.hibiscusproxy.daemon.settings.SettingsPage

/** `settings-page`: prints the reference of all settings as Markdown. */
@OptIn(ExperimentalCli::class)
class SettingsPageCommand :
    Subcommand("settings-page", "Print the reference of all settings as Markdown") {
    override fun execute() {
        print(SettingsPage.render())
        exitProcess(ExitCode.DONE.number)
    }
}
