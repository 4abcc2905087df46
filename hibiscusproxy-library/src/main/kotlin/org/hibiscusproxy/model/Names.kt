package org.hibiscusproxy.model

import kotlinx.serialization.Serializable

/** Name of a data centre, unique in a fleet. */
@JvmInline
@Serializable
value class DataCenterName(val value: String) {
    override fun toString(): String = value
}

/** Name of a team, the customer for whom a request runs. */
@JvmInline
@Serializable
value class TeamName(val value: String) {
    override fun toString(): String = value
}

/** Name of a service, which callers address and one pool of targets serves. */
@JvmInline
@Serializable
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of a target, which is a model engine or an instance of a plain service. */
@JvmInline
@Serializable
value class TargetName(val value: String) {
    override fun toString(): String = value
}

/** Version of the software that a target runs, as its platform lists it. Versions have no order. */
@JvmInline
@Serializable
value class SoftwareVersion(val value: String) {
    override fun toString(): String = value
}

/** Name of a routing rule. */
@JvmInline
@Serializable
value class RoutingRuleName(val value: String) {
    override fun toString(): String = value
}

/** Name of a model, adapter or model version as used by the engines. */
@JvmInline
@Serializable
value class ModelName(val value: String) {
    override fun toString(): String = value
}

/** Name of a process of the fleet, configured in its settings. */
@JvmInline
@Serializable
value class ProcessName(val value: String) {
    override fun toString(): String = value
}
