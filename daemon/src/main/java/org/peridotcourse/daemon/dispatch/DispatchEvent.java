package org.peridotcourse.daemon.dispatch;

import java.lang.System.Logger.Level;
import org.peridotcourse.daemon.log.Event;
import org.peridotcourse.daemon.log.EventInfo;

/** Log records of the job scheduler. Constants are immutable and thread-safe. */
public enum DispatchEvent implements Event {
    /** The host listens. */
    STARTED(
            6000,
            "host.started",
            Level.INFO,
            "All ports are open; fields host, dataCentre, callers, peers, incarnation, millis"),
    /** The host stops. */
    STOPPING(6001, "host.stopping", Level.INFO, "SIGTERM was received; fields host, owner"),
    /** The process ends. */
    STOPPED(6002, "host.stopped", Level.INFO, "The process ends; fields host, millis"),
    /** The settings were read again. */
    RELOADED(6003, "host.reloaded", Level.INFO, "SIGHUP was received; fields changed"),
    /** A part of the process failed. */
    FAULT(
            6004,
            "host.fault",
            Level.ERROR,
            "An unexpected exception was survived; fields fault, at"),
    /** Records were left out. */
    LINES_DROPPED(
            6005,
            "log.dropped",
            Level.WARNING,
            "Records were left out to bound the volume; fields event, count"),
    /** The store is lost. */
    STORE_LOST(
            6010,
            "store.lost",
            Level.WARNING,
            "Calls to the store fail; fields cause, sinceMillis"),
    /** The store is back. */
    STORE_REGAINED(
            6011, "store.regained", Level.INFO, "The store answers again; fields awayMillis"),
    /** A row is not understood. */
    ROW_REFUSED(
            6012,
            "row.unreadable",
            Level.WARNING,
            "A row is not understood and was left out; fields table, key, version, reason"),
    /** The history of a table is gone. */
    FEED_RESTARTED(
            6013,
            "feed.restarted",
            Level.INFO,
            "A table is read anew; fields table, after, reason"),
    /** A peer is lost. */
    PEER_LOST(6014, "host.unreachable", Level.INFO, "A host did not answer; fields peer, reason"),
    /** A configuration is in force. */
    CONFIG(
            6020,
            "config.installed",
            Level.INFO,
            "A configuration is in force; fields version, before, queues, from"),
    /** The data centres that get nothing changed. */
    EVACUATED(
            6021,
            "evacuation.changed",
            Level.INFO,
            "Data centres in which nothing may start; fields dataCentres"),
    /** An older configuration came. */
    CONFIG_OLDER(
            6022,
            "config.older",
            Level.WARNING,
            "A configuration older than the present one was left out; fields version, present, "
                    + "from"),
    /** The configuration could not be confirmed. */
    CONFIG_UNCONFIRMED(
            6023,
            "config.unconfirmed",
            Level.WARNING,
            "It could not be learned for a while whether the configuration is the newest one; "
                    + "fields version, ageMillis, everConfirmed"),
    /** The configuration is confirmed again. */
    CONFIG_CONFIRMED(
            6024,
            "config.confirmed",
            Level.INFO,
            "The configuration is known to be the newest one again; fields version, afterMillis"),
    /** This host is the owner. */
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
    /** The owner has read the store. */
    OWNER_LOADED(
            6032,
            "owner.loaded",
            Level.INFO,
            "The owner has read the store; fields epoch, jobs, workers, millis"),
    /** A small host passes the ownership on. */
    OWNER_GIVEN(
            6033,
            "owner.given",
            Level.INFO,
            "A small host gives the ownership up, since a much larger one would take it; fields "
                    + "peer"),
    /** The owner stood still. */
    OWNER_PAUSED(
            6034,
            "owner.paused",
            Level.WARNING,
            "The process of the owner stood still and gives no orders until its lease is "
                    + "confirmed; fields epoch, pausedMillis"),
    /** The owner decided. */
    DECIDED(
            6040,
            "dispatch.decided",
            Level.INFO,
            "The owner decided; fields kind, subject, worker, epoch, and the inputs"),
    /** Progress is stored. */
    STORED(
            6041,
            "progress.stored",
            Level.INFO,
            "Progress of jobs is in the store; fields jobs, version, millis, epoch"),
    /** Progress could not be stored. */
    NOT_STORED(
            6042,
            "progress.delayed",
            Level.WARNING,
            "Progress of jobs could not be stored yet; fields jobs, reason, epoch"),
    /** The store refuses the record of a job. */
    RECORD_REFUSED(
            6043,
            "progress.refused",
            Level.ERROR,
            "The store refuses the record of one job as wrong, which is tried again while other "
                    + "jobs go on; fields job, bytes, epoch"),
    /** Rows beside the progress could not be written. */
    ROW_NOT_WRITTEN(
            6044,
            "row.delayed",
            Level.WARNING,
            "Rows of the owner other than progress could not be written yet; fields rows, reason, "
                    + "epoch"),
    /** The record of a job is longer than a row. */
    RECORD_SHORTENED(
            6045,
            "progress.shortened",
            Level.WARNING,
            "The record of a job is longer than a row and was stored without checkpoints; fields "
                    + "job, bytes, stored"),
    /** A call was answered. */
    CALL_ANSWERED(
            6050,
            "call.answered",
            Level.INFO,
            "A call about a job was answered; fields request, job, queue, call, answer, status, "
                    + "config, via, repeats, millis"),
    /** A call was passed on. */
    CALL_FORWARDED(
            6051,
            "call.forwarded",
            Level.INFO,
            "A call was passed to another host; fields request, job, peer, reason");

    private final EventInfo info;

    DispatchEvent(int number, String title, Level level, String description) {
        this.info = new EventInfo(number, title, level, description);
    }

    @Override
    public EventInfo info() {
        return info;
    }
}
