package org.gypsumroute.api

/** Digest of an organisation's id, or of its absence; short enough for reports. */
@JvmInline
value class OrganisationDigest(val value: Int)
