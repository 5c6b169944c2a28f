package org.peridotcourse.ctl;

import org.peridotcourse.Failure;

/**
 * Why a command ended without a result. Instances are immutable and thread-safe.
 *
 * @param exitCode the exit code of the process
 * @param code the stable code of the failure
 * @param message the explanation
 */
record CtlFailure(ExitCode exitCode, String code, String message) implements Failure {
    static CtlFailure unreachable(String address, String detail) {
        return new CtlFailure(ExitCode.UNREACHABLE, "unreachable", address + ": " + detail);
    }

    static CtlFailure usage(String message) {
        return new CtlFailure(ExitCode.USAGE, "usage", message);
    }
}
