package org.hibiscusproxy.daemon.command

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import org.hibiscusproxy.model.FleetObjects
import org.hibiscusproxy.model.FleetObjectsCheck
import org.hibiscusproxy.model.ObjectFile

/** Reads several object files as one set of objects and validates it. */
internal object ObjectFiles {
    /** Returns the objects of [files], or all faults, one per line. */
    fun read(files: List<String>): Result<FleetObjects, List<String>> {
        val faults = mutableListOf<String>()
        var all = FleetObjects()
        for (file in files) {
            readOne(file).fold({ all = merge(all, it) }, { faults += it })
        }
        // When a file cannot be read, most faults of the incomplete set would be false.
        if (faults.isEmpty()) FleetObjectsCheck.faults(all).mapTo(faults) { "$it" }
        return if (faults.isEmpty()) Ok(all) else Err(faults)
    }

    private fun readOne(file: String): Result<FleetObjects, String> {
        val text = try {
            Files.readString(Path.of(file))
        } catch (failure: IOException) {
            return Err("$file: cannot be read: ${failure.javaClass.simpleName}")
        }
        return ObjectFile.parse(file, text).fold({ Ok(it) }, { Err("$it") })
    }

    private fun merge(first: FleetObjects, second: FleetObjects) = FleetObjects(
        first.teams + second.teams,
        first.services + second.services,
        first.dataCenters + second.dataCenters,
        first.links + second.links,
        first.targets + second.targets,
        first.routingRules + second.routingRules,
    )
}
