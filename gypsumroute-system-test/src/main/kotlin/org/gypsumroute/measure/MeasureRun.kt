package org.gypsumroute.measure

/** What all measurements of one run share. */
internal class MeasureRun(val files: RunFiles, val seed: Long)
