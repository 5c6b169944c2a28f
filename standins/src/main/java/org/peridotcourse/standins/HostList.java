package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/**
 * The platform's list of hosts; changes become visible after a fixed lag.
 *
 * <p>This class is thread-safe.
 */
final class HostList {
    private final TreeMap<String, JsonNode> visibleHosts = new TreeMap<>();
    private final Deque<Change> pendingChanges = new ArrayDeque<>();
    private final long lagMillis;

    HostList(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /**
     * Adds, changes or removes a host. Fields that the description omits keep their values.
     *
     * @param host the name
     * @param description the fields, null to remove the host
     * @param nowMillis the current time
     */
    synchronized void put(String host, JsonNode description, long nowMillis) {
        pendingChanges.add(new Change(nowMillis, host, description));
    }

    /**
     * Returns the list as it was one lag before the current time.
     *
     * @param nowMillis the current time
     * @return the JSON form of the list
     */
    synchronized ObjectNode list(long nowMillis) {
        while (!pendingChanges.isEmpty()
                && pendingChanges.peek().atMillis + lagMillis <= nowMillis) {
            Change change = pendingChanges.remove();
            if (change.description == null) {
                visibleHosts.remove(change.host);
            } else {
                ObjectNode entry = Json.object().put("host", change.host);
                JsonNode previous = visibleHosts.get(change.host);
                if (previous != null) {
                    entry.setAll((ObjectNode) previous);
                }
                entry.setAll((ObjectNode) change.description);
                visibleHosts.put(change.host, entry.put("host", change.host));
            }
        }
        ObjectNode body = Json.object().put("ageMillis", lagMillis);
        ArrayNode hosts = body.putArray("hosts");
        visibleHosts.values().forEach(hosts::add);
        return body;
    }

    /**
     * A change that is not visible yet.
     *
     * @param atMillis the time of the change
     * @param host the name
     * @param description the fields, null to remove the host
     */
    private record Change(long atMillis, String host, JsonNode description) {}
}
