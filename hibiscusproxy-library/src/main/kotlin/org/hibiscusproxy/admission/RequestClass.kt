package org.hibiscusproxy.admission

import org.hibiscusproxy.model.TeamName

/**
 * Requests for a service that are admitted with the same probability.
 *
 * @property rank rank of the request; 0 is the most urgent
 * @property team team of the caller; null for callers without an access key
 */
data class RequestClass(val rank: Int, val team: TeamName?)
