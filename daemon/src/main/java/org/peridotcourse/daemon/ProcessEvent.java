package org.peridotcourse.daemon;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;
import org.peridotcourse.daemon.log.EventLog;

/** Log events of the process itself. Constants are immutable and thread-safe. */
public enum ProcessEvent implements Event {
    /** The process has started and its ports are open. */
    STARTED(
            9000,
            "process.started",
            Level.INFO,
            "All ports are open; fields daemon, dataCentre, entry, admin, peer"),
    /** A stop was requested. */
    STOPPING(9001, "process.stopping", Level.INFO, "SIGTERM was received; fields held"),
    /** The process ends. */
    STOPPED(9002, "process.stopped", Level.INFO, "The process ends; fields held, millis"),
    /** A duty threw an unexpected exception; its thread continues. */
    DUTY_FAULT(
            9003,
            "duty.faulted",
            Level.ERROR,
            "An event caused an exception and was dropped; fields duty, fault, at"),
    /** The settings file is invalid. */
    SETTINGS_REFUSED(
            9004,
            "settings.refused",
            Level.ERROR,
            "The settings file has faults, one line each; fields fault"),
    /** A port could not be opened. */
    START_FAILED(9005, "process.failed", Level.ERROR, "The start failed; fields fault"),
    /** A step of the stop failed. */
    STOP_STEP_FAILED(
            9006, "stop.failed", Level.WARNING, "A step of the stop failed; fields step, fault");

    private final EventInfo info;

    ProcessEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    /**
     * Writes a {@link #DUTY_FAULT} record. The virtual machine omits the stack trace of exceptions
     * that are thrown often, so the place of the fault may be unknown.
     *
     * @param log receives the record
     * @param duty the name of the duty
     * @param fault the exception that the duty threw
     */
    public static void recordFault(EventLog log, String duty, RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        log.event(DUTY_FAULT)
                .with("duty", duty)
                .with("fault", fault)
                .with("at", trace.length > 0 ? trace[0] : "unknown")
                .write();
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
