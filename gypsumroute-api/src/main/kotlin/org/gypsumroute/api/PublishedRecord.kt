package org.gypsumroute.api

/** One published record, or its removal. */
sealed interface PublishedRecord {
    /** The routing table. */
    data class Table(val table: RoutingTable) : PublishedRecord

    /** An endpoint published itself. */
    data class Endpoint(val record: EndpointRecord) : PublishedRecord

    /** An endpoint's record is gone. */
    data class EndpointRemoved(val endpoint: EndpointId) : PublishedRecord

    /** Operators took a data centre out. */
    data class DataCentreOut(val dataCentre: DataCentreId) : PublishedRecord

    /** Operators took a data centre back in. */
    data class DataCentreBack(val dataCentre: DataCentreId) : PublishedRecord

    /** A record that cannot be used, and why. */
    data class Unusable(val name: String, val problem: String) : PublishedRecord
}
