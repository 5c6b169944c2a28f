package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/**
 * The platform's list of hosts, which shows changes only after a lag.
 *
 * <p>It is thread-safe.
 */
final class HostList {
    private final TreeMap<String, JsonNode> visible = new TreeMap<>();
    private final Deque<Change> pending = new ArrayDeque<>();
    private final long lagMillis;

    HostList(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /**
     * Takes note of a host.
     *
     * @param host the name
     * @param description the fields, null to remove the host
     * @param nowMillis the present time
     */
    synchronized void put(String host, JsonNode description, long nowMillis) {
        pending.add(new Change(nowMillis, host, description));
    }

    /**
     * Returns the list as it was before the lag.
     *
     * @param nowMillis the present time
     * @return the JSON form of the list
     */
    synchronized ObjectNode list(long nowMillis) {
        while (!pending.isEmpty() && pending.peek().atMillis + lagMillis <= nowMillis) {
            Change change = pending.remove();
            if (change.description == null) {
                visible.remove(change.host);
            } else {
                ObjectNode entry = Json.object().put("host", change.host);
                JsonNode previous = visible.get(change.host);
                if (previous != null) {
                    entry.setAll((ObjectNode) previous);
                }
                entry.setAll((ObjectNode) change.description);
                visible.put(change.host, entry.put("host", change.host));
            }
        }
        ObjectNode body = Json.object().put("ageMillis", lagMillis);
        ArrayNode hosts = body.putArray("hosts");
        visible.values().forEach(hosts::add);
        return body;
    }

    /**
     * A change that is not visible yet.
     *
     * @param atMillis when it was made
     * @param host the name
     * @param description the fields, null to remove the host
     */
    private record Change(long atMillis, String host, JsonNode description) {}
}
