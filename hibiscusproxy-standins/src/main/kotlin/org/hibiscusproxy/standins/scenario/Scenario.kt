package org.hibiscusproxy.standins.scenario

/**
 * A script that runs a whole fleet, injures it and checks what its users see.
 *
 * @property guards failures that the scenario guards against, one sentence each
 */
data class Scenario(val name: String, val guards: List<String>, val steps: List<NumberedStep>)

/** A step with the line of the script that it stands on. */
data class NumberedStep(val line: Int, val step: ScenarioStep)
