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
        val coldCapacity: Int? = null,
        val deadline: Duration? = null,
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
        val burst: Int = 0,
        val resends: Int = 0,
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

    /** Injures or mends processes, all at the same time. */
    data class Act(val action: ProcessAction, val processes: List<String>) : ScenarioStep()

    /**
     * Cuts [processes] off from all others. They still reach one another, and entries still reach
     * the sidecars among them.
     */
    data class Partition(val processes: List<String>) : ScenarioStep()

    /** Holds each byte from and to [process] for [delay] and a random time up to [jitter]. */
    data class Delay(val process: String, val delay: Duration, val jitter: Duration) :
        ScenarioStep()

    /** Publishes [count] changes one after the other. */
    data class Change(val count: Int) : ScenarioStep()

    /** Kills the leader [count] times at random moments while changes are published. */
    data class KillLeader(val count: Int, val seed: Long) : ScenarioStep()

    /** Kills and restarts processes drawn from [processes], [count] times at random moments. */
    data class KillAtRandom(val count: Int, val seed: Long, val processes: List<String>) :
        ScenarioStep()

    /** Sends one poison request [count] times, through the entries in turn. */
    data class Poison(val count: Int) : ScenarioStep()

    /** Replaces the lost identity of [controller], whose disk was wiped, by its new one. */
    data class Readmit(val controller: String) : ScenarioStep()

    /** [controller] votes within [duration] of now, as the leader's status says. */
    data class ExpectVoter(val controller: String, val duration: Duration) : ScenarioStep()

    /** The fleet's state lists [name], a data centre or target, as out or not. */
    data class ExpectState(val name: String, val isOut: Boolean) : ScenarioStep()

    /** No worker of [place] began new work after the instant marked [mark]. */
    data class ExpectNoWork(val place: String, val mark: String) : ScenarioStep()

    /** Some worker of [place] begins new work within [duration] of now. */
    data class ExpectWork(val place: String, val duration: Duration) : ScenarioStep()

    /** Checks that [metric] compares with [bound] as [comparison] says. */
    data class ExpectMetric(val metric: Metric, val comparison: Comparison, val bound: Double) :
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
        STALL("stall"),
        HEAL("heal"),
    }

    /** Metrics of the last load, the workers and the event files. */
    enum class Metric(val word: String) {
        SENT("sent"),
        OK("ok"),
        WRONG("wrong"),
        BROKEN("broken"),
        LOST("lost"),
        NOT_RUN("not-run"),
        UNKNOWN("unknown"),
        DOUBLE_BOOKINGS("double-bookings"),

        /** Requests that ran although their caller was told that they did not. */
        RAN_DESPITE_NOT_RUN("ran-despite-not-run"),

        /** Completed bookings that no service instance ran. */
        COMPLETE_WITHOUT_EXECUTION("complete-without-execution"),

        /** Engines that do not run at present. */
        DEAD_ENGINES("dead-engines"),

        /** Times that engines fell over because of too much work while cold. */
        FALL_OVERS("fall-overs"),

        /** Attempts that sidecars sent to their targets, per request that entries received. */
        ATTEMPTS_PER_REQUEST("attempts-per-request"),

        /** Largest number of attempts of one request that sidecars sent to their targets. */
        MAXIMUM_ATTEMPTS("maximum-attempts"),

        /** Largest running load of one engine above its bound, over all samples. */
        ABOVE_BOUND("above-bound"),

        /** Answers that entries recorded as complete and callers found incomplete. */
        INCOMPLETE_ANSWERS("incomplete-answers"),

        /** Answers for other attempts that entries dropped. */
        DROPPED_ANSWERS("dropped-answers"),
    }

    /** Comparison of a metric with its bound. */
    enum class Comparison(val word: String) {
        AT_MOST("<="),
        AT_LEAST(">="),
        EQUAL("="),
    }
}
