package org.gypsumroute.cli

/** Lines of a table with [heading] above [rows]; each column is as wide as its widest cell. */
internal fun textTable(heading: List<String>, rows: List<List<String>>): List<String> {
    val widths = heading.indices.map { column ->
        (rows + listOf(heading)).maxOf { it[column].length }
    }
    return (listOf(heading) + rows).map { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }
            .joinToString("  ").trimEnd()
    }
}
