package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.SoftwareVersion

/** Software versions whose targets may get a request. */
sealed class VersionChoice {
    /** Any version: the request cannot be continued by another target. */
    data object Any : VersionChoice()

    /** The version that began a stream; null if it is not known, which no target matches. */
    data class Only(val version: SoftwareVersion?) : VersionChoice()

    /**
     * The [versions] that the controllers have registered, or any while there are none. A stream
     * that began at another one could be taken up while a leader still names a registered version.
     */
    data class Registered(val versions: Set<SoftwareVersion?>) : VersionChoice()

    internal fun matches(target: DiscoveredTarget): Boolean = when (this) {
        is Any -> true
        is Only -> version != null && target.version == version
        is Registered -> versions.isEmpty() || target.version in versions
    }

    internal fun select(targets: List<TargetState>): List<TargetState> =
        targets.filter { matches(it.listed) }
}
