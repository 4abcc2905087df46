package org.hibiscusproxy.daemon.settings

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import org.hibiscusproxy.model.NetworkAddress

/**
 * Validates a parsed file against the declarations of the settings and collects all faults. The
 * decoder of the serialization library stops at the first one.
 */
internal class SettingsSchemaValidator {
    private val faults = mutableListOf<SettingsFault>()

    /** Returns the faults of [element] against [descriptor]. */
    fun validate(element: JsonElement, descriptor: SerialDescriptor): List<SettingsFault> {
        checkValue("", element, descriptor, null)
        return faults.toList()
    }

    private fun checkValue(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
        setting: Setting?,
    ) {
        if (element is JsonNull && descriptor.isNullable) return
        val actual = if (descriptor.isInline) descriptor.getElementDescriptor(0) else descriptor
        when (actual.kind) {
            StructureKind.CLASS -> checkObject(path, element, actual)
            StructureKind.LIST -> checkList(path, element, actual)
            SerialKind.ENUM -> checkEnumeration(path, element, actual)
            PrimitiveKind.STRING -> checkString(path, element, actual)
            PrimitiveKind.INT, PrimitiveKind.LONG -> checkNumber(path, element, setting, true)
            PrimitiveKind.DOUBLE -> checkNumber(path, element, setting, false)
            else -> Unit
        }
    }

    private fun checkObject(path: String, element: JsonElement, descriptor: SerialDescriptor) {
        if (element !is JsonObject) return addWrongValue(path, element, "an object")
        val known = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        for (key in element.keys - known.toSet()) {
            faults += SettingsFault.UnknownKey(path.child(key), known)
        }
        for (index in known.indices) {
            val child = element[known[index]]
            if (child != null) {
                val setting = descriptor.settingAt(index)
                checkValue(
                    path.child(known[index]),
                    child,
                    descriptor.getElementDescriptor(index),
                    setting,
                )
            } else if (!descriptor.isElementOptional(index)) {
                faults += SettingsFault.MissingKey(path.child(known[index]))
            }
        }
    }

    private fun checkList(path: String, element: JsonElement, descriptor: SerialDescriptor) {
        if (element !is JsonArray) return addWrongValue(path, element, "an array")
        element.forEachIndexed { index, item ->
            checkValue("$path[$index]", item, descriptor.getElementDescriptor(0), null)
        }
    }

    private fun checkEnumeration(path: String, element: JsonElement, descriptor: SerialDescriptor) {
        val known = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text !in known) addWrongValue(path, element, "one of ${known.joinToString()}")
    }

    private fun checkString(path: String, element: JsonElement, descriptor: SerialDescriptor) {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        when {
            text == null -> addWrongValue(path, element, "a string")
            descriptor.serialName.removeSuffix("?") != ADDRESS_SERIAL_NAME -> Unit
            runCatching { NetworkAddress.parse(text) }.isFailure ->
                addWrongValue(path, element, "an address such as 127.0.0.1:8080")
        }
    }

    private fun checkNumber(
        path: String,
        element: JsonElement,
        setting: Setting?,
        isInteger: Boolean,
    ) {
        val primitive = (element as? JsonPrimitive)?.takeIf { !it.isString }
        val number = if (isInteger) primitive?.longOrNull?.toDouble() else primitive?.doubleOrNull
        when {
            number == null ->
                addWrongValue(path, element, if (isInteger) "an integer" else "a number")
            setting == null -> Unit
            number < setting.minimum || number > setting.maximum ->
                faults +=
                    SettingsFault.OutOfRange(path, number, setting.minimum, setting.maximum)
        }
    }

    private fun addWrongValue(path: String, element: JsonElement, expected: String) {
        faults += SettingsFault.WrongValue(path, element.toString().take(80), expected)
    }

    private fun String.child(key: String): String = if (isEmpty()) key else "$this.$key"

    private companion object {
        const val ADDRESS_SERIAL_NAME = "NetworkAddress"
    }
}

internal fun SerialDescriptor.settingAt(index: Int): Setting? =
    getElementAnnotations(index).filterIsInstance<Setting>().firstOrNull()
