package org.peridotcourse.daemon;

import java.util.logging.LogManager;

/**
 * Log manager whose handlers stay open during a stop. The standard log manager closes them in its
 * own shutdown hook, so the records of the stop would be lost. It is thread-safe.
 */
public final class NonResettingLogManager extends LogManager {
    /** Creates the manager; the logging system calls it. */
    public NonResettingLogManager() {}

    @Override
    public void reset() {
        // Handlers stay open until the process ends.
    }
}
