/*
 * Guards against options without help or without an environment variable, and against options and
 * defaults that the settings page gives wrongly.
 */
package org.gypsumroute.cli

import com.github.ajalt.clikt.core.BaseCliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.parameters.options.Option
import com.github.ajalt.clikt.parameters.options.OptionWithValues
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Test

class OptionsTest {
    private val requestedVariables = mutableSetOf<String>()
    private val root = gypsumrouteCommand().also { root ->
        root.context { readEnvvar = { name -> null.also { requestedVariables.add(name) } } }
        // Parsing without arguments makes every option read its environment variable.
        for (command in commandNames(root)) {
            try {
                root.parse(listOf(command))
            } catch (_: CliktError) {
                continue
            }
        }
    }

    @Test
    fun `every option of every command has help and an environment variable`() {
        var count = 0
        for (command in root.registeredSubcommands()) {
            for (option in settableOptions(command)) {
                val label = "${command.commandName} ${option.names}"
                count++
                assertTrue(option.optionHelp(command.currentContext).isNotBlank(), "$label: help")
                assertTrue(
                    variableOf(option) != null,
                    "$label: no variable among $requestedVariables"
                )
            }
        }
        assertTrue(count >= MIN_OPTIONS, "$count options seen")
    }

    @Test
    fun `the settings page lists exactly the options of entry and agent with their variables`() {
        val page = Path.of("../docs/settings.md").readText()
        for (name in listOf("entry", "agent")) {
            val command = root.registeredSubcommands().single { it.commandName == name }
            val expected = settableOptions(command)
                .associate { option -> longName(option) to variableOf(option) }
            val listed = pageRows(page).filter { name in it[2] }
                .associate { it[0].trim('`') to it[1].trim('`') }
            assertEquals<Map<String, String?>>(expected, listed, name)
        }
    }

    @Test
    fun `the settings page gives the defaults of entry and agent`() {
        val page = Path.of("../docs/settings.md").readText()
        val rows = pageRows(page).associateBy { it[0].trim('`') }
        for (name in listOf("entry", "agent")) {
            val command = root.registeredSubcommands().single { it.commandName == name }
            for (option in settableOptions(command).filterIsInstance<OptionWithValues<*, *, *>>()) {
                val default = option.helpTags["default"] ?: continue
                assertEquals(default, rows.getValue(longName(option))[3], longName(option))
            }
        }
    }

    private fun pageRows(page: String): List<List<String>> = page.lines()
        .filter { it.startsWith("| `--") }
        .map { row -> row.trim('|', ' ').split(" | ").map { it.trim() } }

    private fun settableOptions(command: BaseCliktCommand<*>): List<Option> =
        command.registeredOptions().filterNot { "--help" in it.names }

    private fun longName(option: Option) = option.names.maxBy { it.length }

    private fun variableOf(option: Option): String? {
        if (option is OptionWithValues<*, *, *>) option.envvar?.let { return it }
        val suffix = "_" + longName(option).removePrefix("--").uppercase().replace('-', '_')
        return requestedVariables.find { it.startsWith(VARIABLE_PREFIX) && it.endsWith(suffix) }
    }

    private fun commandNames(root: GypsumrouteCommand): List<String> =
        root.registeredSubcommands().map { it.commandName }

    private companion object {
        /** A smaller count would mean that the test misses the options of option groups. */
        const val MIN_OPTIONS = 50
    }
}
