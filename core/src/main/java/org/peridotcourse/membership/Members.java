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
 * The other daemons, and with whom to exchange in each round.
 *
 * <p>The two live daemons of a data centre with the lowest names read the table service. The others
 * exchange with one of the two in each round, by turns, so both learn of every leaving backend
 * server within two rounds and a failed reader is noticed. Data centres do not exchange as long as
 * the configuration is fresh, because each reads the table service itself, so an exchange across
 * the billed link would bring nothing new. A reader that has no fresh configuration asks one daemon
 * of another data centre in each round, its own region first.
 *
 * <p>Live means that the last exchanges did not fail. Views of different daemons may differ for a
 * few rounds; then more than two daemons read, or a daemon without a reader reads itself once its
 * configuration is too old. Confined to one thread.
 */
public final class Members {
    /** Readers of each data centre: a second one covers the failure of the first. */
    public static final int READERS = 2;

    /** One lost exchange on a busy host does not make another daemon read. */
    private static final int FAILURES_UNTIL_SUSPECTED = 2;

    /** A suspected daemon is tried again after this time. */
    private static final long SUSPECTED_RETRY_MILLIS = 5000;

    private final DaemonId self;
    private final DataCentreId dataCentre;
    private final Map<DaemonId, Contact> contacts = new TreeMap<>();
    private long round;

    /**
     * Creates the members known to a daemon that has just started.
     *
     * @param self the name of this daemon
     * @param dataCentre the data centre of this daemon
     */
    public Members(DaemonId self, DataCentreId dataCentre) {
        this.self = self;
        this.dataCentre = dataCentre;
    }

    /**
     * Replaces the known daemons by those of the table. What is known about the connection to a
     * daemon is kept unless it runs anew.
     *
     * @param peers the rows; the own one is left out
     */
    public void update(Collection<Peer> peers) {
        Map<DaemonId, Contact> next = new HashMap<>();
        for (Peer peer : peers) {
            if (!peer.daemon().equals(self)) {
                Contact known = contacts.get(peer.daemon());
                boolean same =
                        known != null
                                && known.peer.incarnation() >= peer.incarnation()
                                && known.peer.address().equals(peer.address());
                next.put(peer.daemon(), same ? known : new Contact(peer));
            }
        }
        contacts.clear();
        contacts.putAll(next);
    }

    /**
     * Returns the known daemons except this one.
     *
     * @return the daemons in the order of their names
     */
    public List<Peer> peers() {
        return contacts.values().stream().map(contact -> contact.peer).toList();
    }

    /**
     * Records a message of a daemon: a reply, or a request that it sent.
     *
     * @param nowMillis the present time
     * @param daemon the sender
     * @param incarnation its incarnation
     * @param leaving true if it is about to stop
     * @return false if the sender is an earlier run of a daemon that has been replaced
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
     * @param nowMillis the present time
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
     * Returns when a daemon was last heard.
     *
     * @param daemon the daemon
     * @return the time, or empty if it has not been heard
     */
    public Optional<Long> lastMessageMillis(DaemonId daemon) {
        return Optional.ofNullable(contacts.get(daemon))
                .flatMap(contact -> contact.lastMessageMillis);
    }

    /**
     * Returns the daemons of the own data centre that read the table service.
     *
     * @param nowMillis the present time
     * @return at most two names, in their order
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
     * Tells whether this daemon reads the table service.
     *
     * @param nowMillis the present time
     * @return true if it is one of the readers
     */
    public boolean isReader(long nowMillis) {
        return readers(nowMillis).contains(self);
    }

    /**
     * Returns the daemons to exchange with in a new round. The later ones are alternatives if the
     * first fails; a reader without fresh configuration asks all of them.
     *
     * @param nowMillis the present time
     * @param configAgeMillis the age of the configuration
     * @param ownRegion the data centres of the own region, as far as known
     * @return the daemons in the order of preference
     */
    public List<Peer> nextExchangePeers(
            long nowMillis, long configAgeMillis, Collection<DataCentreId> ownRegion) {
        round++;
        List<Peer> chosen = new ArrayList<>();
        for (DaemonId reader : readers(nowMillis)) {
            if (!reader.equals(self)) {
                chosen.add(contacts.get(reader).peer);
            }
        }
        if (chosen.size() > 1 && round % 2 == 0) {
            chosen.add(chosen.remove(0));
        }
        if (configAgeMillis > Freshness.MAX_START_AGE_MILLIS) {
            if (isReader(nowMillis)) {
                addNextInRotation(nowMillis, chosen, true, List.of());
                addNextInRotation(nowMillis, chosen, false, ownRegion);
            }
        }
        return chosen;
    }

    private void addNextInRotation(
            long nowMillis,
            List<Peer> chosen,
            boolean inOwnDataCentre,
            Collection<DataCentreId> preferred) {
        List<Peer> candidates = new ArrayList<>();
        for (Contact contact : contacts.values()) {
            boolean own = contact.peer.dataCentre().equals(dataCentre);
            if (own == inOwnDataCentre
                    && contact.isUsable(nowMillis)
                    && !chosen.contains(contact.peer)) {
                candidates.add(contact.peer);
            }
        }
        List<Peer> near =
                candidates.stream().filter(p -> preferred.contains(p.dataCentre())).toList();
        List<Peer> from = near.isEmpty() || round % 2 == 0 ? candidates : near;
        if (!from.isEmpty()) {
            chosen.add(from.get((int) (round / 2 % from.size())));
        }
    }

    /** What is known about the connection to one daemon. */
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
