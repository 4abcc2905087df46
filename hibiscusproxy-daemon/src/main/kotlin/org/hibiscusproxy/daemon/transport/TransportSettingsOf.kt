package org.hibiscusproxy.daemon.transport

import kotlin.time.Duration.Companion.milliseconds
import org.hibiscusproxy.daemon.settings.Settings

/** Settings of the links of the process with [settings]. */
internal fun transportSettings(settings: Settings): TransportSettings =
    settings.contactMilliseconds?.let { TransportSettings.within(it.milliseconds) }
        ?: TransportSettings()
