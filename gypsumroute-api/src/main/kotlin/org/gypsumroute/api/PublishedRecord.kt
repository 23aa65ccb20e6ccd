package org.gypsumroute.api

/** One published record, or its removal. */
sealed interface PublishedRecord {
    /**
     * The routing table. The [replacedFigures] say which of its figures could not be used, and what
     * the table has instead.
     */
    data class Table(val table: RoutingTable, val replacedFigures: List<String> = emptyList()) :
        PublishedRecord

    /** An endpoint published itself. */
    data class Endpoint(val record: EndpointRecord) : PublishedRecord

    /** An endpoint's record was removed, or expired because it was not renewed. */
    data class EndpointRemoved(val endpoint: EndpointId) : PublishedRecord

    /** Operators took a data centre out of service. */
    data class DataCentreOut(val dataCentre: DataCentreId) : PublishedRecord

    /** Operators put a data centre back into service. */
    data class DataCentreBack(val dataCentre: DataCentreId) : PublishedRecord

    /**
     * A record that can't be decoded; [problem] says why. If it is that of an [endpoint], it names
     * none to use.
     */
    data class Unusable(val name: String, val problem: String, val endpoint: EndpointId? = null) :
        PublishedRecord
}
