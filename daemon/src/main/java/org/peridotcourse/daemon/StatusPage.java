package org.peridotcourse.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.peridotcourse.daemon.control.AcceptorDuty;
import org.peridotcourse.daemon.control.SnapshotHolder;
import org.peridotcourse.daemon.entry.EntryService;
import org.peridotcourse.daemon.settings.SettingKey;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.membership.Host;
import org.peridotcourse.placement.OwnerStatus;

/** Builds the JSON object of the page {@code /status}. It holds no state and is thread-safe. */
final class StatusPage {
    private static final ObjectMapper JSON = new ObjectMapper();

    private StatusPage() {}

    static JsonNode of(
            Settings settings,
            ControlServices control,
            EntryService entry,
            boolean stopping,
            long now) {
        ObjectNode page = JSON.createObjectNode();
        page.put("daemon", settings.text(SettingKey.DAEMON_NAME));
        page.put("dataCentre", settings.text(SettingKey.DATA_CENTRE));
        page.put("region", settings.text(SettingKey.REGION));
        page.put("stopping", stopping);
        ArrayNode duties = page.putArray("duties");
        control.leaseEpoch()
                .ifPresent(
                        epoch ->
                                duties.addObject()
                                        .put("lease", AcceptorDuty.LEASE_KEY)
                                        .put("epoch", epoch));
        OwnerStatus owner = control.placement();
        if (owner.epoch() > 0) {
            duties.addObject()
                    .put("lease", "placement/" + settings.text(SettingKey.DATA_CENTRE))
                    .put("epoch", owner.epoch());
        }
        page.putObject("placement")
                .put("loaded", owner.loaded())
                .put("workers", owner.workers())
                .put("reachable", owner.usable())
                .put("quarantined", owner.quarantined())
                .put("queued", owner.queued())
                .put("placed", owner.placed())
                .put("evictions", owner.evictions())
                .put("writes", owner.writes())
                .put("starts", owner.starts());
        SnapshotHolder.AgedSnapshot agedConfig = control.config().agedSnapshot(now);
        page.putObject("configuration")
                .put("version", agedConfig.snapshot().version())
                .put("ageMillis", agedConfig.ageMillis());
        control.membership()
                .hostListAgeMillis(now)
                .ifPresent(age -> page.put("hostListAgeMillis", age));
        ArrayNode backends = page.putArray("backends");
        for (Host host : control.membership().backends()) {
            backends.addObject()
                    .put("name", host.name())
                    .put("dataCentre", host.dataCentre().value())
                    .put(
                            "service",
                            host.serving().map(serving -> serving.service().value()).orElse(""))
                    .put("address", host.address())
                    .put("state", host.leaving() ? "leaving" : "live");
        }
        ArrayNode peers = page.putArray("peers");
        control.membership().peers().forEach(peer -> peers.add(peer.daemon().value()));
        page.putObject("connections")
                .put("callers", entry.callerConnections())
                .put("backends", entry.router().connections());
        page.putObject("queues")
                .put("requestsHeld", entry.router().pendingCount())
                .put("routerRing", entry.router().ringSize())
                .put("pending", entry.pending());
        return page;
    }
}
