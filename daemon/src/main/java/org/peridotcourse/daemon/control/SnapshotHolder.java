package org.peridotcourse.daemon.control;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigSnapshot;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.config.Freshness;

/**
 * The configuration in force in this daemon and its age, shared by all threads.
 *
 * <p>Only later versions are installed, so the version never decreases. Reading the snapshot takes
 * no lock. It is thread-safe.
 */
public final class SnapshotHolder {
    private final Freshness freshness = new Freshness();
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot, with version 0 before the first version is installed
     */
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the age of the configuration.
     *
     * @param nowMillis the present time
     * @return milliseconds since the last confirmation, or {@link Freshness#NEVER_CONFIRMED}
     */
    public synchronized long ageMillis(long nowMillis) {
        return freshness.ageMillis(nowMillis);
    }

    /**
     * Tells whether tasks may start in a data centre.
     *
     * @param dataCentre the data centre
     * @param nowMillis the present time, right before the start
     * @return true if the data centre has the state {@code in} and the age of the configuration is
     *     at most {@link Freshness#MAX_TASK_START_AGE_MILLIS}
     */
    public synchronized boolean mayStartTasks(DataCentreId dataCentre, long nowMillis) {
        return freshness.ageMillis(nowMillis) <= Freshness.MAX_TASK_START_AGE_MILLIS
                && snapshot.dataCentre(dataCentre).map(DataCentreRow::isInUse).orElse(false);
    }

    /**
     * Installs a change if it leads to a later version.
     *
     * @param change the change
     * @return true if the change was installed
     */
    public synchronized boolean install(ConfigChange change) {
        ConfigSnapshot next = snapshot.apply(change);
        if (next.version() <= snapshot.version()) {
            return false;
        }
        snapshot = next;
        return true;
    }

    /**
     * Records that a reply confirmed a version.
     *
     * @param version the confirmed version; ignored if it is later than the version in force
     * @param sentMillis when the request was sent
     * @param ageMillis the age in the reply, 0 for the table service
     */
    public synchronized void confirm(long version, long sentMillis, long ageMillis) {
        if (version > 0 && version <= snapshot.version()) {
            freshness.confirm(sentMillis, ageMillis);
        }
    }

    /**
     * Returns the snapshot and its age, read atomically.
     *
     * @param nowMillis the present time
     * @return the snapshot with its age
     */
    public synchronized AgedSnapshot agedSnapshot(long nowMillis) {
        return new AgedSnapshot(snapshot, freshness.ageMillis(nowMillis));
    }

    /**
     * Returns the change from the version of a peer to the version in force.
     *
     * @param peerVersion the version of the peer
     * @return the change, or empty if the peer is not behind
     */
    public Optional<ConfigChange> changeSince(long peerVersion) {
        return snapshot.changesSince(peerVersion);
    }

    /**
     * A snapshot and its age at the time of the call.
     *
     * @param snapshot the snapshot
     * @param ageMillis its age
     */
    public record AgedSnapshot(ConfigSnapshot snapshot, long ageMillis) {}
}
