package org.hibiscusproxy.daemon.controller

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import io.javalin.http.HttpStatus
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.hibiscusproxy.consensus.MembershipChange
import org.hibiscusproxy.control.ChangeCommand
import org.hibiscusproxy.control.ChangeIdentifier
import org.hibiscusproxy.control.ChangeOutcome
import org.hibiscusproxy.control.FleetInstant
import org.hibiscusproxy.daemon.startOrStop
import org.hibiscusproxy.model.DataCenterName
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.NetworkAddress
import org.hibiscusproxy.model.OperationalState
import org.hibiscusproxy.model.ProcessName
import org.hibiscusproxy.model.TargetName
import org.hibiscusproxy.protocol.NotSentReason
import org.hibiscusproxy.protocol.OrderOutcome
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * HTTP interface for operators. Every call is signed with the fleet key. Calls are queued for the
 * worker and answered asynchronously, so that no server thread blocks.
 */
internal class OperatorServer(
    val listen: NetworkAddress,
    private val verifier: CallVerifier,
    private val leaderAddresses: Map<ProcessName, NetworkAddress>,
    private val submit: (OperatorRequest) -> CompletableFuture<OperatorReply>,
) : AutoCloseable {
    private var server: Javalin? = null
    private val admission = OperatorAdmission(MAXIMUM_BODY_BYTES)

    /** Address that the server is bound to. */
    val address: NetworkAddress get() = listen.copy(
        port = checkNotNull(server) {
            "not started"
        }.port(),
    )

    fun start() {
        server = Javalin.create(::configure).apply { startOrStop(listen) }
    }

    override fun close() {
        server?.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.http.maxRequestSize = MAXIMUM_BODY_BYTES
        admission.configure(config.jetty)
        val routes = config.routes
        routes.before { context ->
            admission.withBody(context) { authenticate(context, it) }
        }
        routes.after(admission::endAnswer)
        routes.post("/objects", ::publish)
        routes.get("/state") { answer(it, OperatorRequest.ReadState) }
        routes.post("/data-centers/{name}/{state}", ::setDataCenter)
        routes.post("/targets/{name}/orders", ::order)
        routes.post("/targets/{name}/{state}", ::setTarget)
        routes.get("/changes/{change}", ::readChange)
        routes.get("/status") { answer(it, OperatorRequest.ReadStatus) }
        routes.post("/members", ::changeMembers)
        routes.exception(OperatorCallException::class.java) { exception, context ->
            write(context, OperatorError(exception.type, exception.message.orEmpty()))
        }
        routes.exception(HttpResponseException::class.java) { failure, context ->
            if (failure.status == HttpStatus.SERVICE_UNAVAILABLE.code) {
                context.header("Retry-After", OperatorAdmission.RETRY_AFTER)
            }
            write(context, OperatorError(OperatorErrorType.BAD_REQUEST, failure.message.orEmpty()))
            context.status(failure.status)
        }
        routes.exception(Exception::class.java) { exception, context ->
            LOG.error("controller: call {} {} failed", context.method(), context.path(), exception)
            write(context, OperatorError(OperatorErrorType.INTERNAL, "internal error"))
        }
        routes.error(NOT_FOUND) { context ->
            val hasErrorBody = context.result()?.startsWith("{") ?: false
            if (!hasErrorBody) {
                write(context, OperatorError(OperatorErrorType.NOT_FOUND, "no such path"))
            }
        }
    }

    private fun authenticate(context: Context, body: ByteArray) {
        context.attribute(BODY, body)
        val query = context.queryString()?.let { "?$it" }.orEmpty()
        val call = SignedCall(
            context.method().name,
            context.req().requestURI + query,
            context.header(SignedCall.TIME_HEADER)?.toLongOrNull() ?: 0,
            context.header(SignedCall.NONCE_HEADER).orEmpty(),
            context.header("Host").orEmpty(),
        )
        val signature = context.header(SignedCall.SIGNATURE_HEADER).orEmpty()
        val refusal = verifier.verify(call, signature, body) ?: return
        LOG.warn("controller: call from {} refused: {}", context.ip(), refusal.message)
        throw OperatorCallException(OperatorErrorType.NOT_AUTHENTICATED, refusal.message)
    }

    private fun publish(context: Context) {
        val body = body(context, PublishBody.serializer())
        val request = change(context, body.change) { at ->
            ChangeCommand.PublishObjects(body.change, body.basedOn, body.objects, at)
        }
        answer(context, request)
    }

    private fun setDataCenter(context: Context) {
        val body = body(context, StateBody.serializer())
        val name = DataCenterName(context.pathParam("name"))
        val state = state(context)
        val request = change(context, body.change) { at ->
            ChangeCommand.SetDataCenterState(body.change, name, state, at, body.basedOn)
        }
        answer(context, request)
    }

    private fun setTarget(context: Context) {
        val body = body(context, StateBody.serializer())
        val name = TargetName(context.pathParam("name"))
        val state = state(context)
        val request = change(context, body.change) { at ->
            ChangeCommand.SetTargetState(body.change, name, state, at, basedOn = body.basedOn)
        }
        answer(context, request)
    }

    private fun order(context: Context) {
        val body = body(context, OrderBody.serializer())
        val target = TargetName(context.pathParam("name"))
        validate(body.change)
        if (!KIND_PATTERN.matches(body.kind)) {
            throw badRequest(
                "kind must be 1 to 100 small letters, digits, hyphens: ${body.kind}",
            )
        }
        if (body.value.length > MAXIMUM_VALUE_CHARACTERS) {
            throw badRequest("value must have at most $MAXIMUM_VALUE_CHARACTERS characters")
        }
        answer(context, OperatorRequest.Order(body.change, target, body.kind, body.value))
    }

    private fun change(
        context: Context,
        identifier: ChangeIdentifier,
        build: (FleetInstant) -> ChangeCommand,
    ): OperatorRequest {
        validate(identifier)
        return OperatorRequest.Change(wait(context), build)
    }

    private fun validate(identifier: ChangeIdentifier) {
        if (!IDENTIFIER_PATTERN.matches(identifier.value)) {
            throw badRequest(
                "change must be 1 to 100 letters, digits, dots, hyphens: $identifier",
            )
        }
    }

    private fun readChange(context: Context) {
        val change = ChangeIdentifier(context.pathParam("change"))
        answer(context, OperatorRequest.ReadChange(change, wait(context)))
    }

    private fun changeMembers(context: Context) {
        val body = body(context, MemberBody.serializer())
        val change = when (body.action) {
            MemberAction.ADD -> {
                val identity = body.identity ?: throw badRequest("identity is missing")
                MembershipChange.AddNonVoter(body.process, identity)
            }

            MemberAction.PROMOTE -> MembershipChange.Promote(body.process)
            MemberAction.REMOVE -> MembershipChange.Remove(body.process)
        }
        answer(context, OperatorRequest.ChangeMembers(change))
    }

    private fun answer(context: Context, request: OperatorRequest) {
        context.future { submit(request).thenAccept { write(context, it) } }
    }

    private fun write(context: Context, reply: OperatorReply) {
        when (reply) {
            is OperatorReply.Change -> {
                context.status(statusOf(reply.report.outcome))
                write(context, ChangeReport.serializer(), reply.report)
            }

            is OperatorReply.Order -> {
                context.status(statusOf(reply.report.outcome))
                write(context, OrderReport.serializer(), reply.report)
            }

            is OperatorReply.State -> write(context, FleetState.serializer(), reply.fleet)
            is OperatorReply.Status -> write(context, StatusReport.serializer(), reply.report)
            is OperatorReply.Failed -> {
                val address = reply.leader?.let { leaderAddresses[it] }
                write(context, OperatorError(reply.type, reply.message, reply.leader, address))
            }
        }
    }

    private fun write(context: Context, error: OperatorError) {
        context.status(error.type.status)
        write(context, OperatorError.serializer(), error)
    }

    private fun <T> write(context: Context, serializer: KSerializer<T>, value: T) {
        context.contentType("application/json")
        context.result(OperatorJson.format.encodeToString(serializer, value))
    }

    private fun statusOf(outcome: ChangeOutcome): Int = when (outcome) {
        is ChangeOutcome.Accepted -> 200
        is ChangeOutcome.Conflict, is ChangeOutcome.IdentifierReused -> 409
        is ChangeOutcome.Invalid -> 422
        is ChangeOutcome.UnknownObject -> 404
    }

    private fun statusOf(outcome: OrderOutcome): Int = when (outcome) {
        is OrderOutcome.Accepted -> 200

        is OrderOutcome.RefusedByEngine -> 409

        is OrderOutcome.NotSent ->
            if (outcome.reason == NotSentReason.NUMBER_REUSED) 409 else 503

        OrderOutcome.Unknown -> 504
    }

    private fun <T> body(context: Context, serializer: KSerializer<T>): T = try {
        val body = context.attribute<ByteArray>(BODY) ?: ByteArray(0)
        OperatorJson.format.decodeFromString(serializer, body.decodeToString())
    } catch (exception: SerializationException) {
        throw badRequest(exception.message.orEmpty())
    } catch (exception: IllegalArgumentException) {
        throw badRequest(exception.message.orEmpty())
    }

    private fun state(context: Context): OperationalState =
        when (val text = context.pathParam("state")) {
            "in" -> OperationalState.IN
            "out" -> OperationalState.OUT
            else -> throw badRequest("state must be in or out: $text")
        }

    private fun wait(context: Context): Duration {
        val text = context.queryParam("wait") ?: return Duration.ZERO
        val seconds = text.toDoubleOrNull()?.takeIf { it in 0.0..MAXIMUM_WAIT_SECONDS }
            ?: throw badRequest("wait must be in 0..$MAXIMUM_WAIT_SECONDS seconds: $text")
        return seconds.seconds
    }

    private fun badRequest(message: String) =
        OperatorCallException(OperatorErrorType.BAD_REQUEST, message)

    private companion object {
        const val MAXIMUM_BODY_BYTES = 8L * 1024 * 1024
        const val MAXIMUM_WAIT_SECONDS = 60.0

        /** Attribute of a call that holds its body. */
        const val BODY = "body"
        const val NOT_FOUND = 404
        const val MAXIMUM_VALUE_CHARACTERS = 4_096
        val KIND_PATTERN = Regex("[a-z0-9-]{1,100}")
        val IDENTIFIER_PATTERN = Regex("[A-Za-z0-9._-]{1,100}")
        val LOG: Logger = LoggerFactory.getLogger(OperatorServer::class.java)
    }
}

/** Aborts a call with an error that is returned to the caller. */
private class OperatorCallException(val type: OperatorErrorType, message: String) :
    RuntimeException(message)
