package org.gypsumroute.measure

/** The service document of a run as YAML. [KEY] is the bearer key of its one organisation. */
internal data class ServiceDocumentText(
    val version: Int = 1,
    val dataCentresOut: List<String> = emptyList(),
    val slotsPerEndpoint: Int = 64,
    val queuePerEndpoint: Int = 200,
    val warmPrefillTokensPerSecond: Int = 200_000,
    val initialShare: Double = 0.1
) {
    val yaml: String
        get() = """
            service: $SERVICE
            version: $version
            kind: generation
            pool: menu
            model:
              name: menu-model
              version: "1"
            promptLimit: 1100000
            outputLimit: 4096
            deadline:
              longest: 120s
            lengthClasses:
              - name: short
                upTo: $MAX_SHORT_PROMPT_TOKENS
                reservedShare: 0.1
                firstTokenObjective: 980ms
                longestWait: 5s
              - name: long
                upTo: 300000
                firstTokenObjective: 10s
                longestWait: 30s
              - name: longest
                upTo: 1100000
                firstTokenObjective: 30s
                longestWait: 60s
            organisations:
              - organisation: thamel-kitchens
                # SHA-256 of the bearer key
                keyDigests: [c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c]
                openRequests: 10000
            dataCentresOut: [${dataCentresOut.joinToString()}]
            limits:
              slotsPerEndpoint: $slotsPerEndpoint
              queuePerEndpoint: $queuePerEndpoint
              answerBytesPerOrganisation: 268435456
            ramp:
              initialShare: $initialShare
              warmPrefillTokensPerSecond: $warmPrefillTokensPerSecond
            group:
              largestMembers: 4
              dataCentreShare: 1.0
              grantWait: 3s
        """.trimIndent() + "\n"

    companion object {
        const val SERVICE = "menu-writer"
        const val KEY = "demo-key"
        const val MAX_SHORT_PROMPT_TOKENS = 4_000
    }
}
