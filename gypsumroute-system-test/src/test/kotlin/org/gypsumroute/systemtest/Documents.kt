/*
 * YAML service documents for the tests.
 */
package org.gypsumroute.systemtest

internal const val MENU_WRITER = "menu-writer"
internal const val ORDER_DESK = "order-desk"

/** The document of a generation service. */
internal fun menuWriter(
    version: Int = 1,
    dataCentresOut: List<String> = emptyList(),
    initialShare: Double = 1.0,
    openRequests: Int = 1000,
    slots: Int = 32
): String = """
service: $MENU_WRITER
version: $version
kind: generation
pool: menu-engines
model:
  name: menu-large
  version: "2026-11"
promptLimit: 2000000
outputLimit: 100000
deadline:
  longest: 120s
lengthClasses:
  - name: short
    upTo: 4000
    reservedShare: 0.1
    firstTokenObjective: 980ms
    longestWait: 10s
  - name: longest
    upTo: 2000000
    firstTokenObjective: 30s
    longestWait: 60s
organisations:
  - organisation: thamel-kitchens
    keyDigests: [$KEY_DIGEST]
    openRequests: $openRequests
dataCentresOut: $dataCentresOut
limits:
  slotsPerEndpoint: $slots
  queuePerEndpoint: 1000
  answerBytesPerOrganisation: 67108864
ramp:
  initialShare: $initialShare
  warmPrefillTokensPerSecond: 200000
group:
  largestMembers: 4
  dataCentreShare: 1.0
  grantWait: 3s
"""

/** The document of a plain service whose action `/print-orders` must not be executed twice. */
internal fun orderDesk(): String = """
service: $ORDER_DESK
version: 1
kind: plain
pool: order-services
promptLimit: 100000
outputLimit: 4096
deadline:
  longest: 30s
lengthClasses:
  - name: all
    upTo: 100000
    firstTokenObjective: 2s
    longestWait: 5s
organisations:
  - organisation: thamel-kitchens
    keyDigests: [$KEY_DIGEST]
    openRequests: 100
limits:
  slotsPerEndpoint: 8
  queuePerEndpoint: 100
  answerBytesPerOrganisation: 67108864
ramp:
  warmPrefillTokensPerSecond: 400000
actions:
  notRepeatable: [/print-orders]
"""

/** The bearer key of all callers; [KEY_DIGEST] is its SHA-256. */
internal const val CALLER_KEY = "demo-key"
private const val KEY_DIGEST = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
