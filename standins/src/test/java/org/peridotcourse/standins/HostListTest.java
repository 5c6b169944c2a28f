package org.peridotcourse.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

/** Tests the lag of the host list. */
class HostListTest {
    /** Guards against changes that are visible before the lag, or that drop unchanged fields. */
    @Test
    void changesAppearAfterTheLag() {
        HostList hosts = new HostList(500);
        hosts.put("b1", Json.parse("{\"role\":\"backend\",\"state\":\"live\"}"), 1000);
        hosts.put("b1", Json.parse("{\"state\":\"leaving\"}"), 1200);
        assertEquals(0, hosts.list(1499).path("hosts").size());
        assertEquals("live", hosts.list(1500).path("hosts").get(0).path("state").asText());
        JsonNode leaving = hosts.list(1700).path("hosts").get(0);
        assertEquals("leaving", leaving.path("state").asText());
        assertEquals("backend", leaving.path("role").asText());
        hosts.put("b1", null, 1700);
        assertEquals(0, hosts.list(2200).path("hosts").size());
    }
}
