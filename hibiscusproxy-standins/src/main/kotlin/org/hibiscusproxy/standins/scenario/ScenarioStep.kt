package org.hibiscusproxy.standins.scenario

import kotlin.time.Duration

/** One line of a scenario. */
sealed class ScenarioStep {
    /** Describes the fleet; `kind` is demo, skupaj or volta. */
    data class Fleet(
        val kind: String,
        val controllers: Int?,
        val entries: Int?,
        val engineOptions: List<String>,
    ) : ScenarioStep()

    /** Starts all processes. */
    data object StartAll : ScenarioStep()

    /** Publishes the fleet's objects and waits until all entries are ready. */
    data object Publish : ScenarioStep()

    /** Starts a load in the background. */
    data class Load(
        val rate: Double,
        val duration: Duration,
        val bookingShare: Double,
        val streamShare: Double,
        val answerTokens: Int,
    ) : ScenarioStep()

    /** Waits for the end of the load. */
    data object EndLoad : ScenarioStep()

    /** Lets time pass. */
    data class Wait(val duration: Duration) : ScenarioStep()

    /** Remembers the present instant under [name]. */
    data class Mark(val name: String) : ScenarioStep()

    /** Changes the operational state of a data centre or target and waits until it is effective. */
    data class Operate(val subject: Subject, val name: String, val isOut: Boolean) :
        ScenarioStep()

    /** Publishes changed objects through the controllers named, all at the same time. */
    data class Race(val controllers: List<String>) : ScenarioStep()

    /** Injures or mends one process. */
    data class Act(val action: ProcessAction, val process: String) : ScenarioStep()

    /** No worker of [place] began new work after the instant marked [mark]. */
    data class ExpectNoWork(val place: String, val mark: String) : ScenarioStep()

    /** Some worker of [place] begins new work within [duration] of now. */
    data class ExpectWork(val place: String, val duration: Duration) : ScenarioStep()

    /** A figure of the ended load is at most or at least [bound]. */
    data class ExpectFigure(val figure: Figure, val comparison: Comparison, val bound: Double) :
        ScenarioStep()

    /** What an operator's change is about. */
    enum class Subject(val word: String) {
        DATA_CENTER("data-center"),
        TARGET("target"),
    }

    /** What happens to a process. */
    enum class ProcessAction(val word: String) {
        KILL("kill"),
        START("start"),
        FREEZE("freeze"),
        THAW("thaw"),
        WIPE("wipe"),
        TERMINATE("terminate"),
        CUT("cut"),
        HEAL("heal"),
    }

    /** Figures of a load. */
    enum class Figure(val word: String) {
        SENT("sent"),
        OK("ok"),
        WRONG("wrong"),
        BROKEN("broken"),
        LOST("lost"),
        NOT_RUN("not-run"),
        UNKNOWN("unknown"),
        DOUBLE("double-bookings"),
    }

    /** How a figure compares with its bound. */
    enum class Comparison(val word: String) {
        AT_MOST("<="),
        AT_LEAST(">="),
        EQUAL("="),
    }
}
