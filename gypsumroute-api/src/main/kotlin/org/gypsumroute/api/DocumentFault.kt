package org.gypsumroute.api

/** One fault in a document: where it is and what is expected. [line] is 1-based, 0 if unknown. */
data class DocumentFault(val line: Int, val field: String, val problem: String)
