package org.peridotcourse.ctl;

import org.apache.commons.cli.CommandLine;

/** What a subcommand does. Implementations hold no state. */
@FunctionalInterface
interface Subcommand {
    /**
     * Runs the subcommand.
     *
     * @param line its arguments
     * @param console where the result goes
     * @return the exit code
     * @throws CtlException if there is no result
     */
    ExitCode run(CommandLine line, Console console) throws CtlException;
}
