package org.peridotcourse.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.peridotcourse.BackendId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.membership.Host.Role;

/**
 * The backend servers and entry hosts, merged from the delayed host list, from the header of
 * backend servers and from peers.
 *
 * <p>The latest news about a backend server counts, by the time when it was true at the latest. A
 * list that lags therefore does not undo a header. While the list is unavailable the last one is
 * used. Times are the local monotonic clock. Confined to one thread.
 */
public final class Backends {
    /** Only news that the host list may still lack is passed on to peers. */
    private static final long MAX_NOTICE_AGE_MILLIS = 60_000;

    /** A note about a backend server that no list names is forgotten after this time. */
    private static final long UNLISTED_RETENTION_MILLIS = 600_000;

    /**
     * Times of a header and of the list reach this daemon over different routes, each with an error
     * of a transit time; the list must be later by more than that to undo a header.
     */
    private static final long TRANSIT_TOLERANCE_MILLIS = 2000;

    private final Map<BackendId, Long> leavingSince = new HashMap<>();
    private final Set<BackendId> listedLive = new HashSet<>();
    private HostList list = new HostList(0, List.of(), 0);
    private Optional<Long> listAsOfMillis = Optional.empty();

    /**
     * Takes a host list.
     *
     * @param sentMillis when the request for it was sent
     * @param newList the list
     */
    public void onList(long sentMillis, HostList newList) {
        long trueMillis = sentMillis - newList.ageMillis();
        if (listAsOfMillis.isPresent() && trueMillis < listAsOfMillis.get()) {
            return;
        }
        list = newList;
        listAsOfMillis = Optional.of(trueMillis);
        listedLive.clear();
        Set<BackendId> named = new HashSet<>();
        for (Host host : newList.ofRole(Role.BACKEND)) {
            BackendId id = BackendId.of(host.name());
            named.add(id);
            if (host.leaving()) {
                leavingSince.merge(id, trueMillis, Math::max);
            } else {
                listedLive.add(id);
                if (trueMillis - leavingSince.getOrDefault(id, trueMillis)
                        > TRANSIT_TOLERANCE_MILLIS) {
                    leavingSince.remove(id);
                }
            }
        }
        leavingSince
                .entrySet()
                .removeIf(
                        entry ->
                                !named.contains(entry.getKey())
                                        && trueMillis - entry.getValue()
                                                > UNLISTED_RETENTION_MILLIS);
    }

    /**
     * Takes the leaving header of a backend server's response.
     *
     * @param nowMillis the present time
     * @param backend the backend server
     */
    public void onLeavingHeader(long nowMillis, BackendId backend) {
        leavingSince.merge(backend, nowMillis, Math::max);
    }

    /**
     * Takes news in the reply of a peer.
     *
     * @param sentMillis when the request was sent, so the transit time adds to the age
     * @param note the news
     */
    public void onReplyNotice(long sentMillis, LeavingNotice note) {
        if (isCurrent(sentMillis, note)) {
            leavingSince.merge(note.backend(), sentMillis - note.ageMillis(), Math::max);
        }
    }

    /**
     * Takes news in a request of a peer. Its transit time is unknown, so the news may be older than
     * it seems; it never makes known news later, or two peers would keep old news alive.
     *
     * @param nowMillis the present time
     * @param note the news
     */
    public void onRequestNotice(long nowMillis, LeavingNotice note) {
        if (isCurrent(nowMillis, note)) {
            leavingSince.putIfAbsent(note.backend(), nowMillis - note.ageMillis());
        }
    }

    /**
     * Returns the news to pass on.
     *
     * @param nowMillis the present time
     * @return news that the host list of a peer may still lack
     */
    public List<LeavingNotice> recentNotices(long nowMillis) {
        List<LeavingNotice> notes = new ArrayList<>();
        leavingSince.forEach(
                (backend, since) -> {
                    long age = Math.max(0, nowMillis - since);
                    if (age <= MAX_NOTICE_AGE_MILLIS) {
                        notes.add(new LeavingNotice(backend, true, age));
                    }
                });
        return notes;
    }

    /**
     * Tells whether a backend server is leaving.
     *
     * @param backend the backend server
     * @return true if it receives no new requests
     */
    public boolean isLeaving(BackendId backend) {
        return leavingSince.containsKey(backend);
    }

    /**
     * Returns the backend servers with their leaving state merged.
     *
     * @return the backend servers of the last list
     */
    public List<Host> hosts() {
        return list.ofRole(Role.BACKEND).stream()
                .map(
                        host ->
                                isLeaving(BackendId.of(host.name())) == host.leaving()
                                        ? host
                                        : withLeaving(host))
                .toList();
    }

    /**
     * Returns the number of live entry hosts, among which connections and slots are shared. It is
     * at least 1, because this daemon itself is one.
     *
     * @param dataCentre the data centre, or empty for all
     * @return the number in the last list
     */
    public int entryHosts(Optional<DataCentreId> dataCentre) {
        long count =
                list.ofRole(Role.ENTRY).stream()
                        .filter(host -> !host.leaving())
                        .filter(
                                host ->
                                        dataCentre
                                                .map(id -> id.equals(host.dataCentre()))
                                                .orElse(true))
                        .count();
        return (int) Math.max(1, count);
    }

    /**
     * Returns the age of the list in use.
     *
     * @param nowMillis the present time
     * @return milliseconds since the list was true, or empty before the first list
     */
    public Optional<Long> listAgeMillis(long nowMillis) {
        return listAsOfMillis.map(since -> Math.max(0, nowMillis - since));
    }

    private boolean isCurrent(long sentMillis, LeavingNotice note) {
        if (!note.leaving() || note.ageMillis() < 0 || note.ageMillis() > MAX_NOTICE_AGE_MILLIS) {
            return false;
        }
        long since = sentMillis - note.ageMillis();
        return !listedLive.contains(note.backend())
                || listAsOfMillis.orElse(since) - since <= TRANSIT_TOLERANCE_MILLIS;
    }

    private static Host withLeaving(Host host) {
        return new Host(
                host.name(),
                host.role(),
                host.dataCentre(),
                host.rack(),
                host.address(),
                true,
                host.serving(),
                host.capacity());
    }
}
