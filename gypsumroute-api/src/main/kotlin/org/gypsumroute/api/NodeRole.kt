package org.gypsumroute.api

/** The role of a gypsumroute process. */
enum class NodeRole { ENTRY, AGENT, GATEWAY }
