package org.hibiscusproxy.daemon.process

/** Phase of the life of a process. [text] appears in log lines. */
enum class ProcessPhase(val text: String) {
    /** Until all roles and the administration server have started. */
    STARTING("starting"),

    /** Between the start and the shutdown. */
    RUNNING("running"),

    /** From the beginning of the shutdown to the end of the process. */
    STOPPING("stopping"),
}
