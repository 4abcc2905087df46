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
 * Writes everything that the processes of a [Deployment] need into one folder: fleet key, objects,
 * a settings file for each process, and `processes.txt` with the program and arguments of each.
 */
class DeploymentFolder(
    private val deployment: Deployment,
    private val folder: Path,
    /** Options added to each engine, such as `--cache-blocks 4096`. */
    private val engineOptions: List<String> = emptyList(),
    private val addresses: AddressPlan = AddressPlan.DIRECT,
) {
    private val json = Json { prettyPrint = true }

    /** Writes all files and returns the processes in the order to start them. */
    fun write(): List<PlannedProcess> {
        (folder / "settings").createDirectories()
        (folder / "fleet.key").writeText(randomKey())
        (folder / "objects.json").writeText(
            json.encodeToString(FleetObjects.serializer(), objects()),
        )
        val processes = controllers() + workers() + sidecars() + entries()
        (folder / "processes.txt").writeText(
            processes.joinToString("\n", postfix = "\n") { it.line() },
        )
        return processes
    }

    /** The objects to publish, with the addresses at which entries reach the sidecars. */
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

    private fun controllersSeenBy(process: ProcessName): List<ControllerAddress> =
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

    private fun controllers(): List<PlannedProcess> =
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
            product(settings)
        }

    private fun workers(): List<PlannedProcess> = deployment.workers.map { worker ->
        val kind = if (worker.isEngine) "engine" else "service"
        val options = listOf("--listen", worker.address.toString(), "--name", worker.name.value)
        PlannedProcess(
            worker.name.value,
            PlannedProcess.Program.STAND_IN,
            listOf(kind) + options + if (worker.isEngine) engineOptions else emptyList(),
            worker.address,
        )
    }

    private fun sidecars(): List<PlannedProcess> = deployment.workers.map { worker ->
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
        product(settings)
    }

    private fun entries(): List<PlannedProcess> = List(deployment.entries) { index ->
        val settings = settings(
            ProcessName("entry-${index + 1}"),
            index,
            deployment.address(Deployment.ENTRY_ADMINISTRATION_OFFSET + index),
        ).copy(entry = EntrySettings(deployment.address(Deployment.ENTRY_OFFSET + index)))
        product(settings)
    }

    private fun settings(name: ProcessName, index: Int, administration: NetworkAddress) = Settings(
        name = name,
        dataCenter = deployment.dataCenters[index % deployment.dataCenters.size],
        administration = administration,
        fleetKeyFile = (folder / "fleet.key").toString(),
        controllers = controllersSeenBy(name),
        eventFile = (folder / "events" / "$name.jsonl").toString(),
    )

    private fun product(settings: Settings): PlannedProcess {
        val file = folder / "settings" / "${settings.name}.json"
        file.writeText(json.encodeToString(Settings.serializer(), settings))
        return PlannedProcess(
            settings.name.value,
            PlannedProcess.Program.PRODUCT,
            listOf("run", file.toString()),
            checkNotNull(settings.administration) { "${settings.name} has no administration" },
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
