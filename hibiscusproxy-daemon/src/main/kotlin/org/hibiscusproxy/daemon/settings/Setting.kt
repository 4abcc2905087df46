package org.hibiscusproxy.daemon.settings

import kotlinx.serialization.SerialInfo

/**
 * Describes a setting. The validation of settings files and the generated settings reference both
 * use this description.
 *
 * @property description what the setting does, in one sentence
 * @property unit unit of a numeric setting; empty when it has none
 * @property minimum smallest allowed value
 * @property maximum largest allowed value
 */
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
annotation class Setting(
    val description: String,
    val unit: String = "",
    val minimum: Double = Double.NEGATIVE_INFINITY,
    val maximum: Double = Double.POSITIVE_INFINITY,
)
