package org.hibiscusproxy.timeline

import kotlinx.serialization.Serializable
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.protocol.Incarnation

/**
 * One event with the process that recorded it and the time.
 *
 * @property sequence number of the event within the process, from 0; a gap means lost events
 * @property epochMilliseconds wall-clock time of the recording process
 */
@Serializable
data class TimelineRecord(
    val process: ProcessName,
    val incarnation: Incarnation,
    val sequence: Long,
    val epochMilliseconds: Long,
    val event: FleetEvent,
)
