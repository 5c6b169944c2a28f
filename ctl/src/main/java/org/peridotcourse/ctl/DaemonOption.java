package org.peridotcourse.ctl;

import org.apache.commons.cli.CommandLine;

/** Reads the addresses in the option {@code --daemon}. It holds no state. */
final class DaemonOption {
    private DaemonOption() {}

    static String[] requireAddresses(CommandLine line) throws CtlException {
        String[] addresses = line.getOptionValues("daemon");
        if (addresses == null) {
            throw new CtlException(CtlFailure.usage("--daemon is missing"));
        }
        return addresses;
    }
}
