package org.peridotcourse.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.peridotcourse.DaemonId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.config.Freshness;

/**
 * The other daemons, and the choice of those to exchange configuration with in each round.
 *
 * <p>The two live daemons of a data centre with the lowest names read the table service. The others
 * exchange with one of these two readers in each round, alternately, so that both are notified of
 * every leaving backend server within two rounds and the failure of a reader is detected. Daemons
 * of different data centres do not exchange as long as the configuration is fresh, because each
 * data centre reads the table service itself and an exchange across the billed link would provide
 * nothing new. A reader without fresh configuration exchanges with one daemon of another data
 * centre in each round, preferably in its own region.
 *
 * <p>A daemon is live if it is neither leaving nor suspected after failed exchanges. The views of
 * different daemons may differ for a few rounds. Then more than two daemons read, or a daemon
 * without a reader reads the table service itself once its configuration is too old. Confined to
 * one thread.
 */
public final class Members {
    /** Readers of each data centre; the second one covers the failure of the first. */
    public static final int READERS = 2;

    /** Two, so that a single lost exchange on a busy host does not make another daemon a reader. */
    private static final int FAILURES_UNTIL_SUSPECTED = 2;

    /** Time after the last failure at which a suspected daemon is tried again. */
    private static final long SUSPECTED_RETRY_MILLIS = 5000;

    private final DaemonId self;
    private final DataCentreId dataCentre;
    private final Map<DaemonId, Contact> contacts = new TreeMap<>();
    private long round;

    /**
     * Creates the members of a daemon that has just started, without peers.
     *
     * @param self the name of this daemon
     * @param dataCentre the data centre of this daemon
     */
    public Members(DaemonId self, DataCentreId dataCentre) {
        this.self = self;
        this.dataCentre = dataCentre;
    }

    /**
     * Replaces the daemons by those of the table. The contact state of a daemon is retained unless
     * it has a later incarnation or another address.
     *
     * @param peers the rows; the one of this daemon is ignored
     */
    public void update(Collection<Peer> peers) {
        Map<DaemonId, Contact> next = new HashMap<>();
        for (Peer peer : peers) {
            if (!peer.daemon().equals(self)) {
                Contact existing = contacts.get(peer.daemon());
                boolean unchanged =
                        existing != null
                                && existing.peer.incarnation() >= peer.incarnation()
                                && existing.peer.address().equals(peer.address());
                next.put(peer.daemon(), unchanged ? existing : new Contact(peer));
            }
        }
        contacts.clear();
        contacts.putAll(next);
    }

    /**
     * Returns the daemons except this one.
     *
     * @return the daemons in the order of their names
     */
    public List<Peer> peers() {
        return contacts.values().stream().map(contact -> contact.peer).toList();
    }

    /**
     * Records a message from a daemon, either a reply or a request.
     *
     * @param nowMillis the current time
     * @param daemon the sender
     * @param incarnation its incarnation
     * @param leaving true if it is about to stop
     * @return false if the message is from an earlier incarnation, which has been replaced
     */
    public boolean recordMessage(
            long nowMillis, DaemonId daemon, long incarnation, boolean leaving) {
        Contact contact = contacts.get(daemon);
        if (contact == null) {
            return true;
        }
        if (incarnation < contact.incarnation) {
            return false;
        }
        contact.incarnation = incarnation;
        contact.lastMessageMillis = Optional.of(nowMillis);
        contact.consecutiveFailures = 0;
        contact.leaving = leaving;
        return true;
    }

    /**
     * Records that an exchange had no reply.
     *
     * @param nowMillis the current time
     * @param daemon the daemon that did not reply
     */
    public void recordFailure(long nowMillis, DaemonId daemon) {
        Contact contact = contacts.get(daemon);
        if (contact != null) {
            contact.consecutiveFailures++;
            contact.lastFailureMillis = nowMillis;
        }
    }

    /**
     * Returns when the last message of a daemon arrived.
     *
     * @param daemon the daemon
     * @return the time, or empty if no message has arrived
     */
    public Optional<Long> lastMessageMillis(DaemonId daemon) {
        return Optional.ofNullable(contacts.get(daemon))
                .flatMap(contact -> contact.lastMessageMillis);
    }

    /**
     * Returns the daemons of the own data centre that read the table service.
     *
     * @param nowMillis the current time
     * @return at most two names, sorted
     */
    public List<DaemonId> readers(long nowMillis) {
        List<DaemonId> live = new ArrayList<>();
        live.add(self);
        for (Contact contact : contacts.values()) {
            if (contact.peer.dataCentre().equals(dataCentre) && contact.isUsable(nowMillis)) {
                live.add(contact.peer.daemon());
            }
        }
        return live.stream().sorted().limit(READERS).toList();
    }

    /**
     * Returns whether this daemon reads the table service.
     *
     * @param nowMillis the current time
     * @return true if it is one of the readers
     */
    public boolean isReader(long nowMillis) {
        return readers(nowMillis).contains(self);
    }

    /**
     * Starts a new round and returns the daemons to exchange with. The later ones are alternatives
     * if the first one fails; a reader without fresh configuration exchanges with all of them.
     *
     * @param nowMillis the current time
     * @param configAgeMillis the age of the configuration
     * @param ownRegion the data centres of the own region, as far as known
     * @return the daemons in the order of preference
     */
    public List<Peer> nextExchangePeers(
            long nowMillis, long configAgeMillis, Collection<DataCentreId> ownRegion) {
        round++;
        List<Peer> selected = new ArrayList<>();
        for (DaemonId reader : readers(nowMillis)) {
            if (!reader.equals(self)) {
                selected.add(contacts.get(reader).peer);
            }
        }
        if (selected.size() > 1 && round % 2 == 0) {
            selected.add(selected.remove(0));
        }
        if (configAgeMillis > Freshness.MAX_TASK_START_AGE_MILLIS) {
            if (isReader(nowMillis)) {
                addNextInRotation(nowMillis, selected, true, List.of());
                addNextInRotation(nowMillis, selected, false, ownRegion);
            }
        }
        return selected;
    }

    private void addNextInRotation(
            long nowMillis,
            List<Peer> selected,
            boolean local,
            Collection<DataCentreId> preferred) {
        List<Peer> candidates = new ArrayList<>();
        for (Contact contact : contacts.values()) {
            boolean isLocal = contact.peer.dataCentre().equals(dataCentre);
            if (isLocal == local
                    && contact.isUsable(nowMillis)
                    && !selected.contains(contact.peer)) {
                candidates.add(contact.peer);
            }
        }
        List<Peer> near =
                candidates.stream().filter(p -> preferred.contains(p.dataCentre())).toList();
        List<Peer> eligible = near.isEmpty() || round % 2 == 0 ? candidates : near;
        if (!eligible.isEmpty()) {
            selected.add(eligible.get((int) (round / 2 % eligible.size())));
        }
    }

    /** Contact state of one daemon. */
    private static final class Contact {
        private final Peer peer;
        private long incarnation;
        private Optional<Long> lastMessageMillis = Optional.empty();
        private int consecutiveFailures;
        private long lastFailureMillis;
        private boolean leaving;

        private Contact(Peer peer) {
            this.peer = peer;
            this.incarnation = peer.incarnation();
        }

        private boolean isUsable(long nowMillis) {
            boolean suspected =
                    consecutiveFailures >= FAILURES_UNTIL_SUSPECTED
                            && nowMillis - lastFailureMillis < SUSPECTED_RETRY_MILLIS;
            return !leaving && !suspected;
        }
    }
}
