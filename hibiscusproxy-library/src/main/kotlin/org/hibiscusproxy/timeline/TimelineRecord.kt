package org.hibiscusproxy.timeline

import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation

/**
 * One event with the process and time it belongs to.
 *
 * @property sequence counts the process's events from 0; gaps mean lost events
 * @property epochMilliseconds wall clock of the recording process
 */
@Serializable
data class TimelineRecord(
    val process: ProcessName,
    val incarnation: Incarnation,
    val sequence: Long,
    val epochMilliseconds: Long,
    val event: FleetEvent,
)
