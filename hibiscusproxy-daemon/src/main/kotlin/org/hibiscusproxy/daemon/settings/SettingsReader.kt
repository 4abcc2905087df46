package org.hibiscusproxy.daemon.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.nio.file.Path
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Reads and validates settings files. All faults of a file are reported at once. */
object SettingsReader {
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    /** Reads and validates [file]. */
    fun read(file: Path): Result<Settings, List<SettingsFault>> = SettingsFile(file).read()

    /** Parses and validates [text]. */
    fun parse(text: String): Result<Settings, List<SettingsFault>> {
        val element = try {
            json.decodeFromString(JsonElement.serializer(), text)
        } catch (failure: SerializationException) {
            return Err(listOf(SettingsFault.NotJson(failure.firstLine())))
        }
        val descriptor = Settings.serializer().descriptor
        val schemaFaults = SettingsSchemaValidator().validate(element, descriptor)
        if (schemaFaults.isNotEmpty()) return Err(schemaFaults)
        val settings = json.decodeFromJsonElement(Settings.serializer(), element)
        val faults = findInconsistencies(settings)
        return if (faults.isEmpty()) Ok(settings) else Err(faults)
    }

    private fun findInconsistencies(settings: Settings): List<SettingsFault> = buildList {
        if (settings.hasNoRole()) {
            add("", "no role: one of entry, forwarder, sidecar, controller is needed")
        }
        if (settings.name.value.isBlank()) add("name", "must not be blank")
        if (settings.controllers.isEmpty()) add("controllers", "at least one is needed")
        addDuplicateControllers(settings)
        if (settings.administration == null && settings.forwarder == null) {
            add("administration", "needed by a process that is no forwarder")
        }
        settings.controller?.let { addControllerFaults(settings, it) }
        settings.sidecar?.let { addSidecarFaults(it) }
        addListenerConflicts(settings)
    }

    private fun Settings.hasNoRole() =
        listOf(entry, forwarder, sidecar, controller).all { it == null }

    private fun MutableList<SettingsFault>.addDuplicateControllers(settings: Settings) {
        val names = settings.controllers.map { it.name }
        names.filter { name -> names.count { it == name } > 1 }.distinct().forEach {
            add("controllers", "two controllers are named $it")
        }
    }

    private fun MutableList<SettingsFault>.addControllerFaults(
        settings: Settings,
        controller: ControllerSettings,
    ) {
        val isListed = settings.controllers.any { it.name == settings.name }
        if (!controller.automaticMembers && !isListed) {
            add("controllers", "the controller ${settings.name} is not in the list")
        }
        if (controller.heartbeatMilliseconds * 3 > controller.electionMilliseconds) {
            val limit = controller.electionMilliseconds / 3
            val value = controller.heartbeatMilliseconds
            add(
                "controller.heartbeatMilliseconds",
                "must be at most a third of electionMilliseconds ($limit): $value",
            )
        }
    }

    private fun MutableList<SettingsFault>.addSidecarFaults(sidecar: SidecarSettings) {
        if (!TARGET_URL.matches(sidecar.targetUrl)) {
            add("sidecar.targetUrl", "expected http://IP:port: ${sidecar.targetUrl}")
        }
    }

    private fun MutableList<SettingsFault>.addListenerConflicts(settings: Settings) {
        val listeners = listOfNotNull(
            settings.administration,
            settings.entry?.listen,
            settings.forwarder?.listen,
            settings.forwarder?.readiness,
            settings.sidecar?.listen,
            settings.controller?.listen,
            settings.controller?.operators,
            settings.controller?.routingOperators,
        )
        listeners.filter { address -> listeners.count { it == address } > 1 }.distinct().forEach {
            add("", "two listeners share $it")
        }
    }

    private fun MutableList<SettingsFault>.add(path: String, message: String) {
        add(SettingsFault.Inconsistent(path, message))
    }

    private fun SerializationException.firstLine(): String =
        message.orEmpty().lineSequence().first()

    private val TARGET_URL = Regex("""https?://[0-9a-fA-F.:\[\]]+:\d{1,5}/?""")
}
