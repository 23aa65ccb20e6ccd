package org.gypsumroute.api

/**
 * The segment that one lease has of a long prompt that a group of endpoints serves: number [index],
 * counted from 0, of as many segments as the group has [members].
 */
data class GroupSegment(val index: Int, val members: Int)
