package org.peridotcourse.daemon.dispatch;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records of the job scheduler. Constants are immutable and thread-safe. */
public enum DispatchEvent implements Event {
    /** The host has started. */
    STARTED(
            6000,
            "host.started",
            Level.INFO,
            "All ports are open; fields host, dataCentre, callers, peers, incarnation, millis"),
    /** The host is stopping. */
    STOPPING(6001, "host.stopping", Level.INFO, "SIGTERM was received; fields host, owner"),
    /** The host has stopped. */
    STOPPED(6002, "host.stopped", Level.INFO, "The process ends; fields host, millis"),
    /** The settings were reloaded. */
    RELOADED(6003, "host.reloaded", Level.INFO, "SIGHUP was received; fields changed"),
    /** An unexpected exception was caught. */
    FAULT(6004, "host.fault", Level.ERROR, "An unexpected exception was caught; fields fault, at"),
    /** Log records were dropped. */
    RECORDS_DROPPED(
            6005,
            "log.dropped",
            Level.WARNING,
            "Log records were dropped to limit their volume; fields event, count"),
    /** The store is unavailable. */
    STORE_LOST(
            6010,
            "store.lost",
            Level.WARNING,
            "Calls to the store fail; fields cause, sinceMillis"),
    /** The store is available again. */
    STORE_REGAINED(
            6011, "store.regained", Level.INFO, "The store answers again; fields awayMillis"),
    /** A row cannot be parsed. */
    ROW_UNREADABLE(
            6012,
            "row.unreadable",
            Level.WARNING,
            "A row cannot be parsed and was ignored; fields table, key, version, reason"),
    /** The change history of a table is no longer available. */
    FEED_RESTARTED(
            6013,
            "feed.restarted",
            Level.INFO,
            "The change history of a table is no longer available, so the table is "
                    + "read again; fields table, after, reason"),
    /** Another host did not answer. */
    HOST_UNREACHABLE(
            6014, "host.unreachable", Level.INFO, "A host did not answer; fields peer, reason"),
    /** A configuration was installed. */
    CONFIG_INSTALLED(
            6020,
            "config.installed",
            Level.INFO,
            "A configuration was installed; fields version, before, queues, from"),
    /** The set of evacuated data centres changed. */
    EVACUATION_CHANGED(
            6021,
            "evacuation.changed",
            Level.INFO,
            "The evacuated data centres, in which no task may start, changed; fields dataCentres"),
    /** An older configuration was received. */
    CONFIG_OLDER(
            6022,
            "config.older",
            Level.WARNING,
            "A configuration older than the current one was ignored; fields version, present, "
                    + "from"),
    /** The configuration could not be confirmed. */
    CONFIG_UNCONFIRMED(
            6023,
            "config.unconfirmed",
            Level.WARNING,
            "The configuration could not be confirmed as the newest one for some time; "
                    + "fields version, ageMillis, everConfirmed"),
    /** The configuration is confirmed again. */
    CONFIG_CONFIRMED(
            6024,
            "config.confirmed",
            Level.INFO,
            "The configuration is confirmed as the newest one again; fields version, afterMillis"),
    /** This host became the owner. */
    OWNER_TAKEN(
            6030,
            "owner.taken",
            Level.INFO,
            "This host took the ownership; fields epoch, before, afterMillis"),
    /** This host is no longer the owner. */
    OWNER_LOST(
            6031,
            "owner.lost",
            Level.WARNING,
            "This host is no longer the owner; fields epoch, reason"),
    /** The owner has loaded its state. */
    OWNER_LOADED(
            6032,
            "owner.loaded",
            Level.INFO,
            "The owner has loaded its state from the store; fields epoch, jobs, workers, millis"),
    /** A small host hands the ownership over to a larger one. */
    OWNER_HANDED_OVER(
            6033,
            "owner.given",
            Level.INFO,
            "A small host released the ownership, since a much larger one accepts it; fields "
                    + "peer"),
    /** The process of the owner was paused. */
    OWNER_PAUSED(
            6034,
            "owner.paused",
            Level.WARNING,
            "The process of the owner was paused and sends no orders until its lease is "
                    + "renewed; fields epoch, pausedMillis"),
    /** The owner made a decision. */
    DECISION_MADE(
            6040,
            "dispatch.decided",
            Level.INFO,
            "The owner made a decision; fields kind, subject, worker, epoch, and the inputs"),
    /** Progress was stored. */
    PROGRESS_STORED(
            6041,
            "progress.stored",
            Level.INFO,
            "Progress of jobs was stored; fields jobs, version, millis, epoch"),
    /** Progress could not be stored yet. */
    PROGRESS_DELAYED(
            6042,
            "progress.delayed",
            Level.WARNING,
            "Progress of jobs could not be stored yet; fields jobs, reason, epoch"),
    /** The store rejects the record of a job. */
    RECORD_REFUSED(
            6043,
            "progress.refused",
            Level.ERROR,
            "The store rejects the record of one job as invalid; it is retried while "
                    + "other jobs proceed; fields job, bytes, epoch"),
    /** Rows other than progress could not be written yet. */
    ROW_NOT_WRITTEN(
            6044,
            "row.delayed",
            Level.WARNING,
            "Rows of the owner other than progress could not be written yet; fields rows, reason, "
                    + "epoch"),
    /** The record of a job exceeds the row limit. */
    RECORD_SHORTENED(
            6045,
            "progress.shortened",
            Level.WARNING,
            "The record of a job exceeds the row limit and was stored without checkpoints; fields "
                    + "job, bytes, stored"),
    /** A call was answered. */
    CALL_ANSWERED(
            6050,
            "call.answered",
            Level.INFO,
            "A call about a job was answered; fields request, job, queue, call, answer, status, "
                    + "config, via, repeats, millis"),
    /** A call was forwarded. */
    CALL_FORWARDED(
            6051,
            "call.forwarded",
            Level.INFO,
            "A call was forwarded to another host; fields request, job, peer, reason");

    private final EventInfo info;

    DispatchEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
