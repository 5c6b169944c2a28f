package org.peridotcourse.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import java.util.Properties;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.ParseException;

/**
 * The command-line tool. {@link #run} runs it without ending the process, so that tests can call
 * it.
 *
 * <p>It holds no state.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the tool and ends the process with one of the codes of {@link ExitCode}.
     *
     * @param arguments the subcommand and its arguments
     */
    public static void main(String... arguments) {
        ExitCode code = run(System.out, System.err, arguments);
        System.out.flush();
        System.exit(code.code());
    }

    /**
     * Runs the tool.
     *
     * @param out receives results
     * @param err receives failure messages
     * @param arguments the subcommand and its arguments
     * @return the exit code
     */
    public static ExitCode run(PrintStream out, PrintStream err, String... arguments) {
        String subcommandName = arguments.length == 0 ? "" : arguments[0];
        if (subcommandName.equals("--help")) {
            help(out);
            return ExitCode.OK;
        }
        if (subcommandName.equals("--version")) {
            out.println("peridotctl " + version());
            return ExitCode.OK;
        }
        Optional<Command> command = Command.parse(subcommandName);
        if (command.isEmpty()) {
            err.println(
                    "peridotctl: unknown subcommand '"
                            + subcommandName
                            + "'; see peridotctl --help");
            return ExitCode.USAGE;
        }
        String[] subcommandArguments = Arrays.copyOfRange(arguments, 1, arguments.length);
        return run(command.get(), out, err, subcommandArguments);
    }

    private static ExitCode run(
            Command command, PrintStream out, PrintStream err, String... arguments) {
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(command.options(), arguments);
        } catch (ParseException e) {
            err.println("peridotctl " + command.title() + ": " + e.getMessage());
            err.println("usage: peridotctl " + command.usage());
            return ExitCode.USAGE;
        }
        if (line.hasOption("help")) {
            help(command, out);
            return ExitCode.OK;
        }
        Console console = new Console(out, err, line.hasOption("json"));
        try {
            return command.subcommand().run(line, console);
        } catch (CtlException e) {
            CtlFailure failure = e.failure();
            if (console.isJson()) {
                ObjectNode error = JsonHttp.MAPPER.createObjectNode();
                error.put("error", failure.code()).put("message", failure.message());
                console.printValue(error);
            }
            err.println("peridotctl " + command.title() + ": " + failure.message());
            if (failure.exitCode() == ExitCode.USAGE) {
                err.println("usage: peridotctl " + command.usage());
            }
            return failure.exitCode();
        }
    }

    private static void help(PrintStream out) {
        out.println("usage: peridotctl SUBCOMMAND [OPTION]...");
        out.println();
        for (Command command : Command.values()) {
            out.println("  " + command.usage());
            out.println("      " + command.description());
        }
        out.println();
        out.println("Every subcommand accepts --help and --json.");
        out.println();
        out.println("Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            out.println("  " + code.code() + "  " + code.description());
        }
    }

    private static void help(Command command, PrintStream out) {
        out.println("usage: peridotctl " + command.usage());
        out.println();
        out.println(command.description());
        out.println();
        for (Option option : command.options().getOptions()) {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            out.printf(
                    "  %-20s %s%n", "--" + option.getLongOpt() + argument, option.getDescription());
        }
    }

    private static String version() {
        Properties properties = new Properties();
        try (InputStream in = Main.class.getResourceAsStream("version.properties")) {
            properties.load(in);
        } catch (IOException e) {
            return "of unknown version";
        }
        return properties.getProperty("version");
    }
}
