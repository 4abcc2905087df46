package org.hibiscusproxy.standins.scenario

/** The step on [line] of [scenario] did not hold. */
class ScenarioFailure(val scenario: String, val line: Int, val reason: String, cause: Throwable) :
    Exception("$scenario, line $line: $reason", cause)
