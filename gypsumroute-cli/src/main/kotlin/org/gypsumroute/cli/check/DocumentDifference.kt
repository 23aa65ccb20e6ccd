/*
 * What changes if a document replaces the one in force.
 */
package org.gypsumroute.cli.check

import org.gypsumroute.api.EncodedDocument

/** One line for each field that differs, or one line if nothing would change. */
internal fun describeDifference(inForce: EncodedDocument, proposed: EncodedDocument): List<String> {
    if (inForce.digest == proposed.digest) return listOf("same bytes as the document in force")
    val before = documentFields(inForce.document)
    val after = documentFields(proposed.document)
    val changes = (before.keys + after.keys).mapNotNull { field ->
        describeChange(field, before[field], after[field])
    }
    return listOfNotNull(orderFault(inForce, proposed)) +
        changes.ifEmpty { listOf("only comments or layout differ") }
}

private fun describeChange(field: String, before: String?, after: String?): String? = when {
    before == after -> null
    before == null -> "+ $field: ${shown(after)}"
    after == null -> "- $field: ${shown(before)}"
    else -> "~ $field: ${shown(before)} -> ${shown(after)}"
}

private fun shown(value: String?): String = if (value.isNullOrEmpty()) "(empty)" else value

/** Documents are ordered by version, then digest, so the proposed one might be ignored. */
private fun orderFault(inForce: EncodedDocument, proposed: EncodedDocument): String? {
    val current = inForce.document.version
    return "! version ${proposed.document.version} would not replace version $current: raise it"
        .takeIf { proposed.document.version.value <= current.value }
}
