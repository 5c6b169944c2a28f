package org.peridotcourse.daemon.control;

import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.config.ConfigChange;
import org.peridotcourse.config.ConfigSnapshot;
import org.peridotcourse.config.DataCentreRow;
import org.peridotcourse.config.Freshness;

/**
 * The configuration in force in this daemon and its age, for all threads.
 *
 * <p>Only later versions are installed, so readers never see a version go back. Reading the
 * snapshot takes no lock. It is thread-safe.
 */
public final class SnapshotHolder {
    private final Freshness freshness = new Freshness();
    private volatile ConfigSnapshot snapshot = ConfigSnapshot.EMPTY;

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot, with version 0 before the first one is known
     */
    public ConfigSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the age of the configuration.
     *
     * @param nowMillis the present time
     * @return milliseconds since the last read that confirmed it, or {@link
     *     Freshness#NEVER_CONFIRMED}
     */
    public synchronized long ageMillis(long nowMillis) {
        return freshness.ageMillis(nowMillis);
    }

    /**
     * Tells whether a task may start in a data centre.
     *
     * @param dataCentre the data centre
     * @param nowMillis the present time, right before the start
     * @return true if the data centre is {@code in} and the configuration is proven fresh
     */
    public synchronized boolean mayStartTasks(DataCentreId dataCentre, long nowMillis) {
        return freshness.ageMillis(nowMillis) <= Freshness.MAX_START_AGE_MILLIS
                && snapshot.dataCentre(dataCentre).map(DataCentreRow::isIn).orElse(false);
    }

    /**
     * Installs a change if it leads to a later version.
     *
     * @param change the change
     * @return true if a later version is in force now
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
     * @param version the version; one later than that in force confirms nothing
     * @param sentMillis when the request was sent
     * @param ageMillis the age in the reply, 0 for the table service
     */
    public synchronized void confirm(long version, long sentMillis, long ageMillis) {
        if (version > 0 && version <= snapshot.version()) {
            freshness.confirm(sentMillis, ageMillis);
        }
    }

    /**
     * Returns version and age as one consistent pair.
     *
     * @param nowMillis the present time
     * @return the pair
     */
    public synchronized AgedSnapshot agedSnapshot(long nowMillis) {
        return new AgedSnapshot(snapshot, freshness.ageMillis(nowMillis));
    }

    /**
     * Returns the rows that a peer lacks.
     *
     * @param peerVersion the version that the peer has
     * @return the change, or empty if the peer is not behind
     */
    public Optional<ConfigChange> changeSince(long peerVersion) {
        return snapshot.since(peerVersion);
    }

    /**
     * A snapshot with the age that it had at one moment.
     *
     * @param snapshot the snapshot
     * @param ageMillis its age
     */
    public record AgedSnapshot(ConfigSnapshot snapshot, long ageMillis) {}
}
