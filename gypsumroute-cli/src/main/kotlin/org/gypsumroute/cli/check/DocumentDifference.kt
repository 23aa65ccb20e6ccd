/*
 * The difference between a proposed document and the one in force.
 */
package org.gypsumroute.cli.check

import org.gypsumroute.api.EncodedDocument

/**
 * Returns a line for each field that differs, or one that tells why none differs, after a warning
 * if the proposed document has no higher version.
 */
internal fun describeDifference(inForce: EncodedDocument, proposed: EncodedDocument): List<String> {
    if (inForce.digest == proposed.digest) return listOf("same bytes as the document in force")
    val before = documentFields(inForce.document)
    val after = documentFields(proposed.document)
    val changes = (before.keys + after.keys).mapNotNull { field ->
        describeChange(field, before[field], after[field])
    }
    return listOfNotNull(versionWarning(inForce, proposed)) +
        changes.ifEmpty { listOf("only comments or layout differ") }
}

private fun describeChange(field: String, before: String?, after: String?): String? = when {
    before == after -> null
    before == null -> "+ $field: ${displayedValue(after)}"
    after == null -> "- $field: ${displayedValue(before)}"
    else -> "~ $field: ${displayedValue(before)} -> ${displayedValue(after)}"
}

private fun displayedValue(value: String?): String = if (value.isNullOrEmpty()) "(empty)" else value

/**
 * Warns if the proposed document has no higher version. Documents are ordered by version and then
 * by digest, so processes might ignore it.
 */
private fun versionWarning(inForce: EncodedDocument, proposed: EncodedDocument): String? {
    val current = inForce.document.version
    return "! version ${proposed.document.version} would not replace version $current: raise it"
        .takeIf { proposed.document.version.value <= current.value }
}
