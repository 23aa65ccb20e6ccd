package org.gypsumroute.api

/** Labels of a metric's value; a label is null if it does not apply. */
data class MetricLabels(
    val service: ServiceId? = null,
    val lengthClass: LengthClassName? = null,
    val organisation: OrganisationId? = null,
    val dataCentre: DataCentreId? = null,
    val outcome: String? = null
)
