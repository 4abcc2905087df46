package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/**
 * A customer whose requests share the targets with those of other teams.
 *
 * @property share weight in fair queueing: a team with share 2 gets twice as many slots as a team
 *   with share 1 while both have queued requests
 */
@Serializable
data class Team(
    val name: TeamName,
    val share: Int = 1,
    val defaultPriority: Priority = Priority.NORMAL,
)
