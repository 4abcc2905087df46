package org.hibiscusproxy.standins.names

import java.net.JarURLConnection
import java.net.URL
import java.nio.file.Path
import kotlin.io.path.invariantSeparatorsPathString
import kotlin.io.path.relativeTo
import kotlin.io.path.walk
import kotlinx.serialization.InternalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.serializer

/**
 * Serial formats of all serializable types of the product that are on the class path: of each type
 * its serial name, its kind and its elements in their order. Of a sealed type the elements are the
 * serial names of its subtypes.
 */
internal class SerialFormats {
    private val formats = sortedSetOf<String>()
    private val visited = mutableSetOf<String>()

    /** The formats, a line each, sorted. */
    fun render(): List<String> {
        serializableClasses().forEach { collect(descriptorOf(it)) }
        return formats.toList()
    }

    private fun collect(descriptor: SerialDescriptor) {
        val format = format(descriptor)
        if (!visited.add(format)) return
        if (!descriptor.serialName.startsWith("kotlin")) formats += format
        descriptor.elementDescriptors.forEach(::collect)
    }

    private fun format(descriptor: SerialDescriptor): String {
        val elements = if (descriptor.kind == PolymorphicKind.SEALED) {
            descriptor.getElementDescriptor(1).elementDescriptors.map { it.serialName }.sorted()
        } else {
            List(descriptor.elementsCount) { element(descriptor, it) }
        }
        val name = descriptor.serialName.removeSuffix("?")
        return "serial $name ${descriptor.kind} {${elements.joinToString()}}"
    }

    private fun element(descriptor: SerialDescriptor, index: Int): String {
        val type = typeName(descriptor.getElementDescriptor(index))
        val default = if (descriptor.isElementOptional(index)) " = default" else ""
        return "${descriptor.getElementName(index)}: $type$default"
    }

    private fun typeName(descriptor: SerialDescriptor): String {
        val name = descriptor.serialName
        if (!name.startsWith(COLLECTIONS)) return name
        return name + descriptor.elementDescriptors.joinToString(prefix = "<", postfix = ">") {
            typeName(it)
        }
    }
}

@OptIn(InternalSerializationApi::class)
private fun descriptorOf(type: Class<*>): SerialDescriptor = type.kotlin.serializer().descriptor

private fun serializableClasses(): List<Class<*>> {
    val loader = SerialFormats::class.java.classLoader
    return loader.getResources(ROOT).asSequence()
        .filterNot { "test-classes" in it.path }
        .flatMap(::classNames)
        .map { Class.forName(it, false, loader) }
        .filter { it.isAnnotationPresent(Serializable::class.java) }
        .toList()
}

private fun classNames(root: URL): List<String> {
    val files = if (root.protocol == "jar") {
        (root.openConnection() as JarURLConnection).jarFile.entries().asSequence().map { it.name }
    } else {
        val folder = Path.of(root.toURI())
        folder.walk().map { "$ROOT/${it.relativeTo(folder).invariantSeparatorsPathString}" }
    }
    return files.filter { it.startsWith(ROOT) && it.endsWith(".class") }
        .map { it.removeSuffix(".class").replace('/', '.') }
        .toList()
}

private const val COLLECTIONS = "kotlin.collections"
private const val ROOT = "org/hibiscusproxy"
