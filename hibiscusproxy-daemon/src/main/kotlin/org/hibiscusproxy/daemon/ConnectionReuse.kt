package org.hibiscusproxy.daemon

import java.util.concurrent.TimeUnit
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient

/**
 * Closes each connection after its call. OkHttp takes whatever arrives on a kept connection as the
 * answer to the next call, also a late second answer to the call before.
 */
fun OkHttpClient.Builder.withoutConnectionReuse(): OkHttpClient.Builder =
    connectionPool(ConnectionPool(0, 1, TimeUnit.SECONDS))
