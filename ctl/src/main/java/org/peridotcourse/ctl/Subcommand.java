package org.peridotcourse.ctl;

import org.apache.commons.cli.CommandLine;

/** The action of a subcommand. Implementations hold no state. */
@FunctionalInterface
interface Subcommand {
    /**
     * Runs the subcommand.
     *
     * @param line the parsed arguments
     * @param console receives the result
     * @return the exit code
     * @throws CtlException if there is no result
     */
    ExitCode run(CommandLine line, Console console) throws CtlException;
}
