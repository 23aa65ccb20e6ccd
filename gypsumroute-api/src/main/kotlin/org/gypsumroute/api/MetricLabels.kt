package org.gypsumroute.api

/** Labels of a measurement; null where a label does not apply. */
data class MetricLabels(
    val service: ServiceId? = null,
    val lengthClass: LengthClassName? = null,
    val organisation: OrganisationId? = null,
    val dataCentre: DataCentreId? = null,
    val outcome: String? = null
)
