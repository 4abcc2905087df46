package org.hibiscusproxy.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import org.hibiscusproxy.admission.Fingerprints
import org.hibiscusproxy.model.FleetState
import org.hibiscusproxy.model.ModelName
import org.hibiscusproxy.model.Service
import org.hibiscusproxy.model.ServiceKind
import org.hibiscusproxy.model.ServiceName
import org.hibiscusproxy.model.TeamName
import org.hibiscusproxy.placement.PrefixKeys
import org.hibiscusproxy.placement.PromptMessage
import org.hibiscusproxy.placement.RoutedRequest
import org.hibiscusproxy.protocol.ClaimKey
import org.hibiscusproxy.protocol.Header
import org.hibiscusproxy.protocol.Payload

/**
 * Validates callers' requests against the objects of one version and extracts what routing needs.
 * Rejected requests never reach a target.
 */
internal class RequestReader(private val state: FleetState) {
    private val teams = state.objects.teams.map { it.name }.toSet()
    private val services = state.objects.services.associateBy { it.name }
    private val adapters = state.objects.targets.flatMap { it.adapters }.toSet()

    @Serializable
    private data class Chat(
        val model: String,
        val messages: List<Message>,
        val adapter: String? = null,
        val stream: Boolean = false,
    )

    @Serializable
    private data class Message(val role: String, val content: JsonElement = JsonNull)

    /** Reads a `POST /v1/chat/completions` request. */
    fun readChat(raw: RawRequest): Result<CallerRequest, CallerFailure> =
        team(raw).andThen { team ->
            parseChat(raw).andThen { chat -> chatRequest(raw, team, chat) }
        }

    /** Reads a request to `/services/{service}/...`, which is sent to [path] at the target. */
    fun readPlain(
        raw: RawRequest,
        service: String,
        path: String,
    ): Result<CallerRequest, CallerFailure> = team(raw).andThen { team ->
        val found = services[ServiceName(service)]
        when (val kind = found?.kind) {
            is ServiceKind.Plain -> plainRequest(raw, team, found, kind, path)

            else -> Err(
                CallerFailure.notFound("unknown-service", "no plain service is called $service"),
            )
        }
    }

    private fun team(raw: RawRequest): Result<TeamName, CallerFailure> {
        val name = raw.header(TEAM_HEADER)
            ?: return Err(
                CallerFailure.badRequest("missing-team", "header $TEAM_HEADER is missing"),
            )
        val team = TeamName(name)
        return if (team in teams) Ok(team) else Err(CallerFailure.unknownTeam(name))
    }

    private fun parseChat(raw: RawRequest): Result<Chat, CallerFailure> = try {
        val chat = JSON.decodeFromString<Chat>(
            raw.body.decodeToString(throwOnInvalidSequence = true),
        )
        when {
            chat.messages.isEmpty() ->
                Err(CallerFailure.badRequest("bad-request", "messages must not be empty"))

            else -> Ok(chat)
        }
    } catch (failure: SerializationException) {
        Err(CallerFailure.badRequest("bad-json", failure.message.orEmpty().lineSequence().first()))
    } catch (_: CharacterCodingException) {
        Err(CallerFailure.badRequest("bad-json", "the body is not UTF-8"))
    }

    private fun chatRequest(
        raw: RawRequest,
        team: TeamName,
        chat: Chat,
    ): Result<CallerRequest, CallerFailure> {
        val model = ModelName(chat.model)
        val service = services.values.firstOrNull { service ->
            (service.kind as? ServiceKind.Chat)?.models?.contains(model) == true
        } ?: return Err(CallerFailure.notFound("unknown-model", "no model is called $model"))
        val adapter = chat.adapter?.let(::ModelName)
        if (adapter != null && adapter !in adapters) {
            return Err(CallerFailure.notFound("unknown-adapter", "no adapter is called $adapter"))
        }
        val messages = chat.messages.map { PromptMessage(it.role, it.content.asText()) }
        return Ok(
            CallerRequest(
                identifier = raw.identifier,
                routed = RoutedRequest(team, service.name, model, adapter),
                key = PrefixKeys.ofChat(model, adapter, messages),
                fingerprint =
                Fingerprints.of(service.name, raw.method, raw.path, raw.body),
                method = raw.method,
                path = raw.path,
                headers = targetHeaders(raw),
                body = Payload(raw.body),
                claim = null,
                mayBufferAnswer = !chat.stream,
                service = service,
            ),
        )
    }

    private fun plainRequest(
        raw: RawRequest,
        team: TeamName,
        service: Service,
        kind: ServiceKind.Plain,
        path: String,
    ): Result<CallerRequest, CallerFailure> {
        val repeatable = kind.nonRepeatableMethods.none { it.equals(raw.method, true) }
        val idempotencyKey = raw.header(IDEMPOTENCY_HEADER)
        if (!repeatable && idempotencyKey.isNullOrBlank()) {
            return Err(
                CallerFailure.badRequest(
                    "missing-idempotency-key",
                    "${raw.method} calls of ${service.name} need the header $IDEMPOTENCY_HEADER",
                ),
            )
        }
        if (idempotencyKey.orEmpty().length > MAXIMUM_KEY_CHARACTERS) {
            return Err(
                CallerFailure.badRequest(
                    "bad-idempotency-key",
                    "$IDEMPOTENCY_HEADER is longer than $MAXIMUM_KEY_CHARACTERS characters",
                ),
            )
        }
        val fullPath = if (raw.query == null) path else "$path?${raw.query}"
        return Ok(
            CallerRequest(
                identifier = raw.identifier,
                routed = RoutedRequest(team, service.name),
                key = PrefixKeys.ofText(raw.identifier.value),
                fingerprint =
                Fingerprints.of(service.name, raw.method, fullPath, raw.body),
                method = raw.method,
                path = fullPath,
                headers = targetHeaders(raw),
                body = Payload(raw.body),
                claim = idempotencyKey
                    ?.takeUnless { repeatable }
                    ?.let { ClaimKey(team, service.name, it) },
                mayBufferAnswer = true,
                service = service,
            ),
        )
    }

    private fun targetHeaders(raw: RawRequest): List<Header> =
        raw.headers.filterNot { it.name.lowercase() in NOT_FORWARDED }

    /** Text of a message; content in parts is represented by its JSON text. */
    private fun JsonElement.asText(): String = if (this is JsonPrimitive) content else toString()

    private companion object {
        const val TEAM_HEADER = "X-Team"
        const val IDEMPOTENCY_HEADER = "Idempotency-Key"
        const val MAXIMUM_KEY_CHARACTERS = 256
        val JSON = Json { ignoreUnknownKeys = true }

        /** Hop-by-hop headers, and those that the entry sets itself. */
        val NOT_FORWARDED = setOf(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "expect",
            "host",
            "content-length",
            "x-request-id",
            "x-priority",
        )
    }
}
