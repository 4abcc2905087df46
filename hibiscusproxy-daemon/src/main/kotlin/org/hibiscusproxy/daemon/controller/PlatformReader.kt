package org.hibiscusproxy.daemon.controller

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.hibiscusproxy.daemon.repeatGuarded
import org.hibiscusproxy.daemon.withoutConnectionReuse
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** The platform's answer to `GET /instances`. The list may be out of date. */
@Serializable
internal data class InstanceList(val version: Long, val instances: List<PlatformInstance>)

/** An instance in the platform's list. */
@Serializable
internal data class PlatformInstance(val name: String, val state: InstanceState)

/** State of an instance according to the platform. */
@Serializable
internal enum class InstanceState {
    /** The instance is in service. */
    @SerialName("live")
    LIVE,

    /** The instance is about to be removed. */
    @SerialName("leaving")
    LEAVING,
}

/** Polls the platform's list of instances while this controller is the leader. */
internal class PlatformReader(
    url: String,
    private val interval: Duration,
    private val isLeader: () -> Boolean,
    private val onList: suspend (InstanceList) -> Unit,
) : AutoCloseable {
    private val http = OkHttpClient.Builder()
        .callTimeout(TIMEOUT.toJavaDuration())
        .withoutConnectionReuse()
        .build()
    private val request = Request.Builder().url("${url.trimEnd('/')}/instances").build()

    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded("controller") {
                if (isLeader()) read()?.let { onList(it) }
                delay(interval)
            }
        }
    }

    private fun read(): InstanceList? = try {
        http.newCall(request).execute().use { response ->
            if (response.isSuccessful) {
                json.decodeFromString(InstanceList.serializer(), response.body.string())
            } else {
                LOG.warn(
                    "controller: platform answered GET /instances with status {}; keeping the last list",
                    response.code,
                )
                null
            }
        }
    } catch (exception: IOException) {
        LOG.warn(
            "controller: cannot read the instance list, keeping the last: {}",
            exception.message,
        )
        null
    } catch (exception: SerializationException) {
        LOG.warn("controller: malformed instance list, keeping the last: {}", exception.message)
        null
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
    }

    private companion object {
        val TIMEOUT = 2.seconds
        val LOG: Logger = LoggerFactory.getLogger(PlatformReader::class.java)
        val json = Json { ignoreUnknownKeys = true }
    }
}
