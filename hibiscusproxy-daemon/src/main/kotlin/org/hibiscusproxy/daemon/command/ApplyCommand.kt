package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.getOrElse
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import org.hibiscusproxy.daemon.controller.OperatorJson
import org.hibiscusproxy.daemon.controller.PublishBody
import org.hibiscusproxy.model.FleetState

/**
 * `apply`: replaces all published objects by those of the given files. Without `--based-on`, the
 * change is based on the version read at the start of the command, so that only concurrent changes
 * conflict.
 */
class ApplyCommand : OperatorCommand("apply", "Replace all published objects") {
    private val options = ControllerOptions(this)
    private val change = ChangeOptions(this, this)
    private val files by argument(ArgType.String, description = "Object files that form one set")
        .vararg()

    override fun run(): ExitCode {
        val objects = ObjectFiles.read(files).getOrElse { faults ->
            faults.forEach(errors::println)
            return ExitCode.REFUSED
        }
        return withClient(options) { client, _ ->
            val given = change.basedOn?.toLong()
            var basedOn = given ?: 0
            val read = if (given != null) {
                ExitCode.DONE
            } else {
                handle(client.call("GET", "/state"), FleetState.serializer()) {
                    basedOn = it.version
                    ExitCode.DONE
                }
            }
            if (read != ExitCode.DONE) return@withClient read
            val body = PublishBody(change.identifier, basedOn, objects)
            val text = OperatorJson.format.encodeToString(PublishBody.serializer(), body)
            change.send(client, "/objects", text)
        }
    }
}
