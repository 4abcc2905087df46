package org.hibiscusproxy.standins.deployment

import java.nio.file.Path
import java.security.SecureRandom
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText
import kotlinx.serialization.json.Json
import org.hibiscusproxy.daemon.settings.ControllerAddress
import org.hibiscusproxy.daemon.settings.ControllerSettings
import org.hibiscusproxy.daemon.settings.EntrySettings
import org.hibiscusproxy.daemon.settings.Settings
import org.hibiscusproxy.daemon.settings.SidecarSettings
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.ProcessName

/**
 * Writes the files of a [Deployment] to one folder: fleet key, objects, a settings file for each
 * process of hibiscusproxy, and `processes.txt` with the program and arguments of each process.
 */
class DeploymentFolder(
    private val deployment: Deployment,
    private val folder: Path,
    /** Options added to each engine, such as `--cache-blocks 4096`. */
    private val engineOptions: List<String> = emptyList(),
    private val addresses: AddressResolver = AddressResolver.DIRECT,
) {
    private val json = Json { prettyPrint = true }

    /** Writes all files and returns the processes in start order. */
    fun write(): List<ProcessDefinition> {
        (folder / "settings").createDirectories()
        (folder / "fleet.key").writeText(randomKey())
        (folder / "objects.json").writeText(
            json.encodeToString(FleetObjects.serializer(), objects()),
        )
        val processes = controllers() + workers() + sidecars() + entries()
        (folder / "processes.txt").writeText(
            processes.joinToString("\n", postfix = "\n") { it.toLine() },
        )
        return processes
    }

    /** Objects to publish, with the addresses at which entries reach the sidecars. */
    fun objects(): FleetObjects = deployment.objects.copy(
        targets = deployment.objects.targets.map { target ->
            val sidecar = addresses.address(null, "sidecar-${target.name}", target.sidecar)
            target.copy(sidecar = sidecar)
        },
    )

    private val controllerAddresses: List<ControllerAddress> =
        List(deployment.controllers) { index ->
            ControllerAddress(
                ProcessName("controller-${index + 1}"),
                deployment.address(Deployment.CONTROLLER_OFFSET + index),
                deployment.address(Deployment.OPERATORS_OFFSET + index),
            )
        }

    private fun controllersReachedBy(process: ProcessName): List<ControllerAddress> =
        controllerAddresses.map { controller ->
            if (controller.name == process) {
                controller
            } else {
                val name = controller.name.value
                controller.copy(
                    address = addresses.address(process.value, name, controller.address),
                )
            }
        }

    private fun controllers(): List<ProcessDefinition> =
        controllerAddresses.mapIndexed { index, controller ->
            val settings = settings(
                controller.name,
                index,
                deployment.address(Deployment.CONTROLLER_ADMINISTRATION_OFFSET + index),
            ).copy(
                controller = ControllerSettings(
                    listen = controller.address,
                    operators = deployment.address(Deployment.OPERATORS_OFFSET + index),
                    dataFolder = (folder / "data" / controller.name.value).toString(),
                ),
            )
            hibiscusproxyProcess(settings)
        }

    private fun workers(): List<ProcessDefinition> = deployment.workers.map { worker ->
        val kind = if (worker.isEngine) "engine" else "service"
        val options = listOf("--listen", worker.address.toString(), "--name", worker.name.value)
        ProcessDefinition(
            worker.name.value,
            ProcessDefinition.Program.STAND_INS,
            listOf(kind) + options + if (worker.isEngine) engineOptions else emptyList(),
            worker.address,
        )
    }

    private fun sidecars(): List<ProcessDefinition> = deployment.workers.map { worker ->
        val settings = settings(
            ProcessName("sidecar-${worker.name}"),
            deployment.dataCenters.indexOf(worker.dataCenter),
            worker.administration,
        ).copy(
            sidecar = SidecarSettings(
                target = worker.name,
                listen = worker.sidecar,
                targetUrl = "http://${worker.address}",
            ),
        )
        hibiscusproxyProcess(settings)
    }

    private fun entries(): List<ProcessDefinition> = List(deployment.entries) { index ->
        val settings = settings(
            ProcessName("entry-${index + 1}"),
            index,
            deployment.address(Deployment.ENTRY_ADMINISTRATION_OFFSET + index),
        ).copy(entry = EntrySettings(deployment.address(Deployment.ENTRY_OFFSET + index)))
        hibiscusproxyProcess(settings)
    }

    private fun settings(name: ProcessName, index: Int, administration: NetworkAddress) = Settings(
        name = name,
        dataCenter = deployment.dataCenters[index % deployment.dataCenters.size],
        administration = administration,
        fleetKeyFile = (folder / "fleet.key").toString(),
        controllers = controllersReachedBy(name),
        eventFile = (folder / "events" / "$name.jsonl").toString(),
    )

    private fun hibiscusproxyProcess(settings: Settings): ProcessDefinition {
        val file = folder / "settings" / "${settings.name}.json"
        file.writeText(json.encodeToString(Settings.serializer(), settings))
        return ProcessDefinition(
            settings.name.value,
            ProcessDefinition.Program.HIBISCUSPROXY,
            listOf("run", file.toString()),
            checkNotNull(settings.administration) {
                "${settings.name} has no administration address"
            },
        )
    }

    private fun randomKey(): String {
        val bytes = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
        return bytes.joinToString("") { "%02x".format(it) } + "\n"
    }

    private operator fun Path.div(child: String): Path = resolve(child)

    private companion object {
        const val KEY_BYTES = 32
    }
}
