package org.gypsumroute.core.documents

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import org.gypsumroute.api.OrganisationRule
import org.gypsumroute.api.ServiceDocument
import org.gypsumroute.api.ServiceId
import org.gypsumroute.api.ServiceKind
import org.gypsumroute.api.Tokens
import org.gypsumroute.core.admission.initialShare
import org.gypsumroute.core.map
import org.gypsumroute.core.requests.retry
import org.gypsumroute.core.testDocument

/** Guards against documents that would disable a service or let one class starve the others. */
class DocumentValidationTest {
    private val valid = testDocument().document.let { document ->
        document.copy(
            organisations = document.organisations.mapIndexed { index, organisation ->
                organisation.copy(keyDigests = listOf("$index".padStart(64, 'a')))
            }
        )
    }

    @Test
    fun `valid document breaks no rule`() = assertEquals(emptyList(), documentRuleFaults(valid))

    @Test
    fun `each broken rule is reported with its field`() {
        val lastClass = valid.lengthClasses.lastIndex
        broken("service") { it.copy(service = ServiceId("Menu Writer")) }
        broken("model") { it.copy(model = null) }
        broken("model") { it.copy(kind = ServiceKind.PLAIN) }
        broken("deadline.default") {
            it.copy(deadline = it.deadline.copy(default = it.deadline.longest + 1.seconds))
        }
        broken("deadline.longest") { it.copy(deadline = it.deadline.copy(longest = 2.hours)) }
        broken("lengthClasses[$lastClass].upTo") { it.copy(promptLimit = Tokens(9_000_000)) }
        broken("lengthClasses[1].upTo") {
            it.copy(lengthClasses = it.lengthClasses.reversed())
        }
        broken("lengthClasses") { document ->
            val shares = document.lengthClasses.map { it.copy(reservedShare = 0.5) }
            document.copy(lengthClasses = shares)
        }
        broken("organisations[0].weight") { withOrganisation(it) { copy(weight = 0) } }
        broken("organisations[0].keyDigests[0]") {
            withOrganisation(it) { copy(keyDigests = listOf("A".repeat(64))) }
        }
        broken("group.largestMembers") { it.copy(group = it.group.copy(largestMembers = 0)) }
        broken("ramp.initialShare") { it.copy(ramp = it.ramp.copy(initialShare = Double.NaN)) }
        broken("retry.firstBackoff") { it.copy(retry = it.retry.copy(firstBackoff = 0.seconds)) }
        broken("actions.notRepeatable") {
            it.copy(actions = it.actions.copy(notRepeatable = listOf("/print-orders")))
        }
    }

    @Test
    fun `all broken rules are reported together`() {
        val fields = documentRuleFaults(
            valid.copy(
                promptLimit = Tokens(0),
                outputLimit = Tokens(0),
                limits = valid.limits.copy(slotsPerEndpoint = 0)
            )
        ).map { it.field }
        assertEquals(listOf("promptLimit", "outputLimit", "limits.slotsPerEndpoint"), fields)
    }

    private fun broken(field: String, change: (ServiceDocument) -> ServiceDocument) {
        val fields = documentRuleFaults(change(valid)).map { it.field }
        assertTrue(field in fields, "$field is not among $fields")
    }

    private fun withOrganisation(
        document: ServiceDocument,
        change: OrganisationRule.() -> OrganisationRule
    ): ServiceDocument {
        val first = document.organisations.first().change()
        return document.copy(organisations = listOf(first) + document.organisations.drop(1))
    }
}
