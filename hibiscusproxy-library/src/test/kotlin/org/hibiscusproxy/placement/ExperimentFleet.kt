package org.hibiscusproxy.placement

/** Parameters of a simulated fleet. */
internal class ExperimentFleet(val name: String, val dataCenters: Int, val oneWayMillis: Double)

/** Kind of a membership change. A joining engine is cold and has an empty cache. */
internal enum class ChangeKind { LEAVE, CRASH, JOIN }

/** A membership change of [engine] at [minute]. */
internal class Change(val minute: Double, val engine: Int, val kind: ChangeKind)
