package org.hibiscusproxy.daemon.forwarding

/** Logs that the attempt [ended] failed because of [cause], and how the request goes on. */
internal fun Exchange.logFailure(ended: TargetAttempt, cause: String, next: String) =
    node.log.attemptFailed(
        AttemptSummary(
            metadata.requestIdentifier,
            ended.target,
            cause,
            next,
            ended.progress,
            ended.framing,
            metadata.prompt?.sharedParts.orEmpty(),
        ),
    )

/** Logs and counts a [lateStep] that came after the request had moved on. */
internal fun Exchange.ignore(lateStep: String) =
    node.log.lateStep(metadata.requestIdentifier, lateStep)
