package org.hibiscusproxy.standins.load

/**
 * Configuration of a load run.
 *
 * @property entries base URLs, used round-robin
 * @property isDirect whether [entries] are engines instead of entry instances
 * @property rate arrivals per second over all teams
 * @property burst when positive, number of requests that are sent at once instead of over time
 * @property service sent as `X-Service` with chats when not null
 * @property streamShare share of streamed chat completions, 0 to 1
 * @property bookingShare share of arrivals that are bookings, 0 to 1
 * @property pauseSeconds minimum time between two turns of a chat
 * @property chatTurns turns after which a chat is replaced by a new one
 * @property bookingResends maximum number of times that an unanswered booking is sent again under
 *   its idempotency key
 * @property statsUrls base URLs of engines and services whose execution counts are checked
 */
data class LoadOptions(
    val entries: List<String>,
    val isDirect: Boolean = false,
    val teams: Int = 10,
    val manuals: Int = 5,
    val manualTokens: Int = 2_000,
    val chats: Int = 100,
    val rate: Double = 10.0,
    val durationSeconds: Double = 30.0,
    val burst: Int = 0,
    val answerTokens: Int = 32,
    val model: String = "model",
    val service: String? = null,
    val streamShare: Double = 1.0,
    val bookingShare: Double = 0.0,
    val bookingService: String = "bookings",
    val pauseSeconds: Double = 2.0,
    val chatTurns: Int = 8,
    val timeoutSeconds: Double = 120.0,
    val seed: Long = 1,
    val bookingResends: Int = 0,
    val statsUrls: List<String> = emptyList(),
    val plotFile: String? = null,
) {
    init {
        require(entries.isNotEmpty()) { "entries must not be empty" }
        require(teams > 0) { "teams must be positive: $teams" }
        require(manuals > 0) { "manuals must be positive: $manuals" }
        require(chats > 0) { "chats must be positive: $chats" }
        require(rate > 0.0) { "rate must be positive: $rate" }
        require(answerTokens > 0) { "answer tokens must be positive: $answerTokens" }
        require(streamShare in 0.0..1.0) { "stream share must be in 0..1: $streamShare" }
        require(bookingShare in 0.0..1.0) { "booking share must be in 0..1: $bookingShare" }
        require(!isDirect || bookingShare == 0.0) { "bookings can't be sent directly to engines" }
    }
}
