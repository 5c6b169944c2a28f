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
 * The backend servers and entry hosts, merged from the delayed host list, the leaving header of
 * backend servers and the notices of peers.
 *
 * <p>The latest information about a backend server takes precedence, by the latest time at which it
 * was valid. A delayed list therefore does not override a more recent header. While the list is
 * unavailable, the last one is used. Times are readings of the local monotonic clock. Confined to
 * one thread.
 */
public final class Backends {
    /**
     * Notices up to this age are passed on to peers, because the host list may not contain them
     * yet.
     */
    private static final long MAX_NOTICE_AGE_MILLIS = 60_000;

    /**
     * A notice about a backend server that the list does not contain is dropped after this time.
     */
    private static final long UNLISTED_RETENTION_MILLIS = 600_000;

    /**
     * The times of a header and of the list reach this daemon over different paths, each with an
     * error of up to a transit time. The list must be later by more than this tolerance to override
     * a header.
     */
    private static final long TRANSIT_TOLERANCE_MILLIS = 2000;

    private final Map<BackendId, Long> leavingAsOfMillis = new HashMap<>();
    private final Set<BackendId> listedLive = new HashSet<>();
    private HostList list = new HostList(0, List.of(), 0);
    private Optional<Long> listAsOfMillis = Optional.empty();

    /**
     * Applies a host list.
     *
     * @param sentMillis when the request for it was sent
     * @param newList the list
     */
    public void onList(long sentMillis, HostList newList) {
        long asOfMillis = sentMillis - newList.ageMillis();
        if (listAsOfMillis.isPresent() && asOfMillis < listAsOfMillis.get()) {
            return;
        }
        list = newList;
        listAsOfMillis = Optional.of(asOfMillis);
        listedLive.clear();
        Set<BackendId> listed = new HashSet<>();
        for (Host host : newList.ofRole(Role.BACKEND)) {
            BackendId id = BackendId.of(host.name());
            listed.add(id);
            if (host.leaving()) {
                leavingAsOfMillis.merge(id, asOfMillis, Math::max);
            } else {
                listedLive.add(id);
                if (asOfMillis - leavingAsOfMillis.getOrDefault(id, asOfMillis)
                        > TRANSIT_TOLERANCE_MILLIS) {
                    leavingAsOfMillis.remove(id);
                }
            }
        }
        leavingAsOfMillis
                .entrySet()
                .removeIf(
                        entry ->
                                !listed.contains(entry.getKey())
                                        && asOfMillis - entry.getValue()
                                                > UNLISTED_RETENTION_MILLIS);
    }

    /**
     * Records the leaving header in a response of a backend server.
     *
     * @param nowMillis the current time
     * @param backend the backend server
     */
    public void onLeavingHeader(long nowMillis, BackendId backend) {
        leavingAsOfMillis.merge(backend, nowMillis, Math::max);
    }

    /**
     * Applies a notice in the reply of a peer.
     *
     * @param sentMillis when the request was sent, so that the transit time adds to the age
     * @param notice the notice
     */
    public void onReplyNotice(long sentMillis, LeavingNotice notice) {
        if (isCurrent(sentMillis, notice)) {
            leavingAsOfMillis.merge(notice.backend(), sentMillis - notice.ageMillis(), Math::max);
        }
    }

    /**
     * Applies a notice in a request of a peer. Its transit time is unknown, so the notice may be
     * older than its age states. It never makes the time of an existing notice later; otherwise two
     * peers would refresh an old notice for ever.
     *
     * @param nowMillis the current time
     * @param notice the notice
     */
    public void onRequestNotice(long nowMillis, LeavingNotice notice) {
        if (isCurrent(nowMillis, notice)) {
            leavingAsOfMillis.putIfAbsent(notice.backend(), nowMillis - notice.ageMillis());
        }
    }

    /**
     * Returns the notices to pass on to peers.
     *
     * @param nowMillis the current time
     * @return notices that the host list of a peer may not contain yet
     */
    public List<LeavingNotice> recentNotices(long nowMillis) {
        List<LeavingNotice> notices = new ArrayList<>();
        leavingAsOfMillis.forEach(
                (backend, asOfMillis) -> {
                    long ageMillis = Math.max(0, nowMillis - asOfMillis);
                    if (ageMillis <= MAX_NOTICE_AGE_MILLIS) {
                        notices.add(new LeavingNotice(backend, true, ageMillis));
                    }
                });
        return notices;
    }

    /**
     * Returns whether a backend server is leaving.
     *
     * @param backend the backend server
     * @return true if it receives no new requests
     */
    public boolean isLeaving(BackendId backend) {
        return leavingAsOfMillis.containsKey(backend);
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
     * @param nowMillis the current time
     * @return milliseconds since the list was valid, or empty before the first list
     */
    public Optional<Long> listAgeMillis(long nowMillis) {
        return listAsOfMillis.map(asOfMillis -> Math.max(0, nowMillis - asOfMillis));
    }

    private boolean isCurrent(long sentMillis, LeavingNotice notice) {
        if (!notice.leaving()
                || notice.ageMillis() < 0
                || notice.ageMillis() > MAX_NOTICE_AGE_MILLIS) {
            return false;
        }
        long asOfMillis = sentMillis - notice.ageMillis();
        return !listedLive.contains(notice.backend())
                || listAsOfMillis.orElse(asOfMillis) - asOfMillis <= TRANSIT_TOLERANCE_MILLIS;
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
