package org.hibiscusproxy.placement

/** Figures of a fleet: Skupaj's or Volta's. */
internal class ExperimentFleet(val name: String, val dataCenters: Int, val oneWayMillis: Double)

/** What happens to an engine; a joining one is cold and has an empty cache. */
internal enum class ChangeKind { LEAVE, CRASH, JOIN }

/** A change of [engine] at a time. */
internal class Change(val minute: Double, val engine: Int, val kind: ChangeKind)
