package org.hibiscusproxy.forwarding

import org.hibiscusproxy.model.SoftwareVersion

/** Software versions whose targets may get a request. */
sealed class VersionChoice {
    /** Any version: the request cannot be continued by another target. */
    data object Any : VersionChoice()

    /** The version that began a stream; null if it is not known, which no target matches. */
    data class Only(val version: SoftwareVersion?) : VersionChoice()

    /**
     * The [versions] that the controllers have registered, or any if they have no target. A stream
     * that begins at another version may be taken up before the controllers know of that version.
     */
    data class Registered(val versions: Set<SoftwareVersion?>) : VersionChoice()

    internal fun matches(target: DiscoveredTarget): Boolean = when (this) {
        is Any -> true
        is Only -> version != null && target.version == version
        is Registered -> target.version in versions
    }

    internal fun select(targets: List<TargetState>): List<TargetState> {
        val matching = targets.filter { matches(it.listed) }
        return if (this is Registered && matching.isEmpty()) targets else matching
    }
}
