package org.hibiscusproxy.daemon.transport

import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.daemon.settings.Settings

/** Settings for the connections of the process to other processes. */
internal fun Settings.toTransportSettings(): TransportSettings =
    contactMilliseconds?.let { TransportSettings.forContactTimeout(it.milliseconds) }
        ?: TransportSettings()
