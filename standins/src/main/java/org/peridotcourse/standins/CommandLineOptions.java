package org.peridotcourse.standins;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The command-line options of a stand-in. Each option has a long name and a value.
 *
 * <p>Call {@link #withOption} for each option, then {@link #parse}. Not thread-safe.
 */
final class CommandLineOptions {
    private final Options options = new Options();
    private CommandLine commandLine;

    CommandLineOptions withOption(String name, String description) {
        options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
        return this;
    }

    /**
     * Parses the arguments; exits the process with code 2 if they are invalid.
     *
     * @param program the name of the program, for error messages
     * @param arguments the arguments
     * @return these options
     */
    CommandLineOptions parse(String program, String... arguments) {
        try {
            commandLine = new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            System.err.println(program + ": " + e.getMessage());
            for (Option option : options.getOptions()) {
                System.err.println("  --" + option.getLongOpt() + "  " + option.getDescription());
            }
            System.exit(2);
        }
        return this;
    }

    boolean has(String name) {
        return commandLine.hasOption(name);
    }

    String text(String name, String defaultValue) {
        return commandLine.getOptionValue(name, defaultValue);
    }

    String[] texts(String name) {
        String[] values = commandLine.getOptionValues(name);
        return values == null ? new String[0] : values;
    }

    long number(String name, long defaultValue) {
        String text = commandLine.getOptionValue(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            System.err.println("--" + name + " needs a whole number, found " + text);
            System.exit(2);
            return defaultValue;
        }
    }
}
