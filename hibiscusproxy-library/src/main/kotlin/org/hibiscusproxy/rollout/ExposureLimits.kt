package org.hibiscusproxy.rollout

/**
 * Limits of what all forwarders together may send to a version under trial.
 *
 * @property share share of the requests of the service, from 0 to 1
 * @property slack number of requests in addition to the share
 */
data class ExposureLimits(val share: Double = 0.1, val slack: Double = 50.0)
