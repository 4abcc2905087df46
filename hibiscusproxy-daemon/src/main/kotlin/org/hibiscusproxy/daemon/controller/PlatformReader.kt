package org.hibiscusproxy.daemon.controller

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Answer of the platform to `GET /instances`. The list may be some time behind. */
@Serializable
internal data class InstanceList(val version: Long, val instances: List<PlatformInstance>)

/** One instance as the platform lists it. */
@Serializable
internal data class PlatformInstance(val name: String, val state: InstanceState)

/** What the platform says about an instance. */
@Serializable
internal enum class InstanceState {
    /** The instance stays. */
    @SerialName("live")
    LIVE,

    /** The instance will be taken away. */
    @SerialName("leaving")
    LEAVING,
}

/** Reads the platform's list at an interval while this controller leads. */
internal class PlatformReader(
    url: String,
    private val interval: Duration,
    private val isLeader: () -> Boolean,
    private val take: suspend (InstanceList) -> Unit,
) : AutoCloseable {
    private val http = OkHttpClient.Builder().callTimeout(TIMEOUT.toJavaDuration()).build()
    private val request = Request.Builder().url("${url.trimEnd('/')}/instances").build()

    fun start(scope: CoroutineScope) {
        scope.launch {
            while (isActive) {
                if (isLeader()) read()?.let { take(it) }
                delay(interval)
            }
        }
    }

    private fun read(): InstanceList? = try {
        http.newCall(request).execute().use { response ->
            if (response.isSuccessful) {
                json.decodeFromString(InstanceList.serializer(), response.body.string())
            } else {
                LOG.warn("controller: the platform answered {}", response.code)
                null
            }
        }
    } catch (failure: IOException) {
        LOG.warn("controller: the platform's list cannot be read: {}", failure.message)
        null
    } catch (failure: SerializationException) {
        LOG.warn("controller: the platform's list is malformed: {}", failure.message)
        null
    }

    override fun close() {
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    private companion object {
        val TIMEOUT = 2.seconds
        val LOG: Logger = LoggerFactory.getLogger(PlatformReader::class.java)
        val json = Json { ignoreUnknownKeys = true }
    }
}
