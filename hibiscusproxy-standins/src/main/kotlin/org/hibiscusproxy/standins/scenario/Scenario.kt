package org.hibiscusproxy.standins.scenario

/**
 * A script that runs a fleet, injects faults and checks what callers and operators observe.
 *
 * @property guards failures that the scenario guards against, one sentence each
 */
data class Scenario(val name: String, val guards: List<String>, val steps: List<NumberedStep>)

/** A step and its line number in the script. */
data class NumberedStep(val line: Int, val step: ScenarioStep)
