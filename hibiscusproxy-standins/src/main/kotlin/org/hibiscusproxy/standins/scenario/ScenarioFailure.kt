package org.hibiscusproxy.standins.scenario

/** Thrown when the step on [line] of [scenario] fails. */
class ScenarioFailure(val scenario: String, val line: Int, val reason: String, cause: Throwable) :
    Exception("$scenario, line $line: $reason", cause)
