package org.gypsumroute.api

/** One lease's part of a grouped prompt: segment [index] of [members], counted from zero. */
data class GroupSegment(val index: Int, val members: Int)
