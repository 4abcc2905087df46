package org.hibiscusproxy.daemon.process

import org.hibiscusproxy.daemon.controller.ControllerPorts
import org.hibiscusproxy.daemon.forwarding.WireFormat

/** Adapters for the naming, wire format and interfaces of the platform that a process runs on. */
class PlatformAdapters(
    val controller: ControllerPorts = ControllerPorts.None,
    val wire: WireFormat? = null,
)
