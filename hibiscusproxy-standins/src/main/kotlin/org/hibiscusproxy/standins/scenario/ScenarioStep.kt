package org.hibiscusproxy.standins.scenario

import kotlin.time.Duration

/** One line of a scenario. */
sealed class ScenarioStep {
    /** Describes the fleet; [kind] is demo, skupaj or volta. */
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

    /** Waits for [duration]. */
    data class Wait(val duration: Duration) : ScenarioStep()

    /** Records the work counters of all workers under [name]. */
    data class Mark(val name: String) : ScenarioStep()

    /** Sets the operational state of a data centre or target and waits until it is effective. */
    data class SetState(val subject: Subject, val name: String, val isOut: Boolean) :
        ScenarioStep()

    /** Publishes one change through each of [controllers], all concurrently. */
    data class Race(val controllers: List<String>) : ScenarioStep()

    /** Applies [action] to all of [processes]. */
    data class ControlProcesses(val action: ProcessAction, val processes: List<String>) :
        ScenarioStep()

    /**
     * Partitions [processes] from all others. They still reach one another, and entries still reach
     * the sidecars among them.
     */
    data class Partition(val processes: List<String>) : ScenarioStep()

    /** Delays each byte from and to [process] by [delay] and a random time up to [jitter]. */
    data class Delay(val process: String, val delay: Duration, val jitter: Duration) :
        ScenarioStep()

    /** Publishes [count] changes one after the other. */
    data class PublishChanges(val count: Int) : ScenarioStep()

    /** Kills the leader [count] times at random moments while changes are published. */
    data class KillLeader(val count: Int, val seed: Long) : ScenarioStep()

    /** Kills and restarts processes drawn from [processes], [count] times at random moments. */
    data class KillAtRandom(val count: Int, val seed: Long, val processes: List<String>) :
        ScenarioStep()

    /** Sends one poison request [count] times, rotating through the entries. */
    data class Poison(val count: Int) : ScenarioStep()

    /** Replaces the identity of [controller], lost with its data folder, by its new one. */
    data class Readmit(val controller: String) : ScenarioStep()

    /** Checks that the leader lists [controller] as a voter within [duration]. */
    data class ExpectVoter(val controller: String, val duration: Duration) : ScenarioStep()

    /** Checks whether the fleet's state lists [name], a data centre or target, as out. */
    data class ExpectState(val name: String, val isOut: Boolean) : ScenarioStep()

    /** Checks that no worker of [scope], a data centre or target, began work since [mark]. */
    data class ExpectNoWork(val scope: String, val mark: String) : ScenarioStep()

    /** Checks that a worker of [scope], a data centre or target, begins work within [duration]. */
    data class ExpectWork(val scope: String, val duration: Duration) : ScenarioStep()

    /** Checks that [metric] compares with [bound] as [comparison] says. */
    data class ExpectMetric(val metric: Metric, val comparison: Comparison, val bound: Double) :
        ScenarioStep()

    /** Kind of object whose operational state an operator sets. */
    enum class Subject(val word: String) {
        DATA_CENTER("data-center"),
        TARGET("target"),
    }

    /** Fault or recovery action applied to a process. */
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

        /** Requests that ran although they were answered as not run. */
        RAN_DESPITE_NOT_RUN("ran-despite-not-run"),

        /** Completed bookings that no service instance ran. */
        COMPLETE_WITHOUT_EXECUTION("complete-without-execution"),

        /** Engine processes that are not running. */
        DEAD_ENGINES("dead-engines"),

        /** Number of times that cold engines failed under too much work. */
        FALL_OVERS("fall-overs"),

        /** Average number of attempts that sidecars started, per request that entries received. */
        ATTEMPTS_PER_REQUEST("attempts-per-request"),

        /** Largest number of attempts that sidecars started for one request. */
        MAXIMUM_ATTEMPTS("maximum-attempts"),

        /** Largest excess of one engine's load over its bound, over all samples. */
        ABOVE_BOUND("above-bound"),

        /** Answers that entries recorded as complete and callers found incomplete. */
        INCOMPLETE_ANSWERS("incomplete-answers"),

        /** Answers that entries dropped because they belong to other attempts. */
        DROPPED_ANSWERS("dropped-answers"),
    }

    /** Comparison of a metric with its bound. */
    enum class Comparison(val word: String) {
        AT_MOST("<="),
        AT_LEAST(">="),
        EQUAL("="),
    }
}
