package org.peridotcourse.ctl;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** The subcommands with their options. Constants are immutable and thread-safe. */
enum Command {
    CHECK(
            "check [--settings FILE]... [--rows FILE]...",
            "Reports every fault of settings files and rows files.",
            new CheckCommand(),
            option("settings", "FILE", "a settings file of a daemon"),
            option("rows", "FILE", "a JSON file: table, key, columns")),
    STATUS(
            "status --daemon ADDRESS...",
            "Shows duties, configuration, backend servers and queues of daemons.",
            new StatusCommand(),
            option("daemon", "ADDRESS", "admin address of a daemon; may be repeated")),
    EXPLAIN(
            "explain --daemon ADDRESS... (--request ID | --task ID)",
            "Shows the decisions about a request or task.",
            new ExplainCommand(),
            option("daemon", "ADDRESS", "admin address of a daemon; may be repeated"),
            option("request", "ID", "the Peridot-Request of a response"),
            option("task", "ID", "the task")),
    ROWS(
            "rows (list TABLE | get TABLE KEY | put TABLE KEY COLUMN=VALUE... | delete TABLE KEY)",
            "Shows and edits rows. Writes are conditional on the row that was read.",
            new RowsCommand(),
            option("platform", "ADDRESS", "the platform (default: PERIDOT_PLATFORM)"),
            option("prefix", "TEXT", "list: only keys with this prefix"),
            option("expect", "COMMIT", "put, delete: the commit of the row, 0 for an absent one"),
            flag("merge", "put: keep the columns that are not named"),
            flag("unchecked", "put: write the row even if it has faults"),
            option("wait", "SECONDS", "put, delete: wait until the row is accepted or refused"));

    private final String usage;
    private final String description;
    private final Subcommand subcommand;
    private final List<Option> ownOptions;

    Command(String usage, String description, Subcommand subcommand, Option... ownOptions) {
        this.usage = usage;
        this.description = description;
        this.subcommand = subcommand;
        this.ownOptions = List.of(ownOptions);
    }

    static Optional<Command> parse(String title) {
        for (Command command : values()) {
            if (command.title().equals(title)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    String title() {
        return name().toLowerCase(Locale.ROOT);
    }

    String usage() {
        return usage;
    }

    String description() {
        return description;
    }

    Subcommand subcommand() {
        return subcommand;
    }

    List<Option> ownOptions() {
        return ownOptions;
    }

    Options options() {
        Options options = new Options();
        ownOptions.forEach(options::addOption);
        options.addOption(flag("json", "print JSON"));
        options.addOption(flag("help", "print help"));
        return options;
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }

    private static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }
}
