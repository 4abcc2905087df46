package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** Name of a data centre, unique in a fleet. */
@JvmInline
@Serializable
value class DataCenterName(val value: String) {
    override fun toString(): String = value
}

/** Name of a team: the customer on whose behalf a request runs. */
@JvmInline
@Serializable
value class TeamName(val value: String) {
    override fun toString(): String = value
}

/** Name of a service that callers address, served by one pool of targets. */
@JvmInline
@Serializable
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of a target: one model engine or one plain service instance. */
@JvmInline
@Serializable
value class TargetName(val value: String) {
    override fun toString(): String = value
}

/** Name of a routing rule. */
@JvmInline
@Serializable
value class RoutingRuleName(val value: String) {
    override fun toString(): String = value
}

/** Name of a model, adapter or version as the engines know it. */
@JvmInline
@Serializable
value class ModelName(val value: String) {
    override fun toString(): String = value
}

/** Name of a process of the fleet, taken from its settings. */
@JvmInline
@Serializable
value class ProcessName(val value: String) {
    override fun toString(): String = value
}
