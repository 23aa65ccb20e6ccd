package org.gypsumroute.api

/**
 * One fault in a service document: its place and what is expected there. Lines are counted from 1;
 * [line] is 0 if unknown.
 */
data class DocumentFault(val line: Int, val field: String, val problem: String)
