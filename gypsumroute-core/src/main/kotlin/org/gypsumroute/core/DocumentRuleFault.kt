package org.gypsumroute.core

/**
 * A broken rule of a document. [field] is the path as in the YAML form, e.g.
 * `lengthClasses[1].upTo`; [relatedFields] are other fields that the rule compares it with.
 */
data class DocumentRuleFault(
    val field: String,
    val problem: String,
    val relatedFields: List<String> = emptyList()
)
