package org.hibiscusproxy.daemon.settings

import kotlinx.serialization.SerialInfo

/**
 * Describes one setting for the checks at start and for the operators' page, which is generated
 * from it.
 *
 * @property text what the setting does, in one sentence
 * @property unit unit of a number, empty where it has none
 * @property minimum smallest allowed number
 * @property maximum largest allowed number
 */
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
annotation class Setting(
    val text: String,
    val unit: String = "",
    val minimum: Double = Double.NEGATIVE_INFINITY,
    val maximum: Double = Double.POSITIVE_INFINITY,
)
