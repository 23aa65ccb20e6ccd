package org.gypsumroute.core.documents

/**
 * A rule that a document breaks. [field] is the path of the field as in the YAML form, for example
 * `lengthClasses[1].upTo`; [relatedFields] are other fields that the rule compares it with.
 */
data class DocumentRuleFault(
    val field: String,
    val problem: String,
    val relatedFields: List<String> = emptyList()
)
