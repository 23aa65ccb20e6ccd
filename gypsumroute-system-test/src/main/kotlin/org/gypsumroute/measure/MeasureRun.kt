package org.gypsumroute.measure

/** Files, ports and the seed that all measurements of one run share. */
internal class MeasureRun(val files: RunFiles, val seed: Long)
