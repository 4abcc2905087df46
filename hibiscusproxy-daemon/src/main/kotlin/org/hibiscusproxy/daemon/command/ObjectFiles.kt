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

/** Reads the objects of several files as one set and checks it. */
internal object ObjectFiles {
    /** The objects of [files], or all faults found, one a line. */
    fun read(files: List<String>): Result<FleetObjects, List<String>> {
        val faults = mutableListOf<String>()
        var all = FleetObjects()
        for (file in files) {
            readOne(file).fold({ all = merge(all, it) }, { faults += it })
        }
        // Faults of the set would mostly follow from a file that could not be read.
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
