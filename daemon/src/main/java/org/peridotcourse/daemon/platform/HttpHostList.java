package org.peridotcourse.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.Resources;
import org.peridotcourse.Result;
import org.peridotcourse.ServiceId;
import org.peridotcourse.base.StringId;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.membership.Host;
import org.peridotcourse.membership.HostList;

/**
 * Reads the host list over HTTP with one keep-alive connection.
 *
 * <p>A malformed entry is skipped and counted, so that it does not hide the other hosts. It is
 * thread-safe; calls of several threads are sent one after the other.
 */
public final class HttpHostList implements HostSource, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TARGET = "/v1/hosts";

    private final PlatformConnection connection;

    /**
     * Creates a client; the connection is opened by the first call.
     *
     * @param factory opens the connection
     * @param address the platform
     * @param timeoutMillis the time-out of a call, including opening the connection
     * @param log receives {@link PlatformEvent} records
     */
    public HttpHostList(
            ChannelFactory factory, InetSocketAddress address, long timeoutMillis, EventLog log) {
        this.connection = new PlatformConnection(factory, address, timeoutMillis, log);
    }

    @Override
    public Result<HostList> hosts() {
        Result<HttpReply> reply = connection.callRepeatable(HttpCall.get(TARGET));
        if (!(reply instanceof Result.Ok<HttpReply> ok) || ok.value().status() >= 500) {
            return Result.failed(StoreFailure.UNAVAILABLE);
        }
        Optional<HostList> list =
                ok.value().status() == 200 ? parse(ok.value().body()) : Optional.empty();
        int skipped = list.map(HostList::skipped).orElse(0);
        if (list.isEmpty() || skipped > 0) {
            connection
                    .log()
                    .event(PlatformEvent.MALFORMED_RESPONSE)
                    .with("address", connection.address())
                    .with("call", "GET " + TARGET)
                    .with("status", ok.value().status())
                    .with("detail", skipped + " entries skipped")
                    .write();
        }
        return list.map(Result::ok).orElseGet(() -> Result.failed(StoreFailure.PROTOCOL));
    }

    @Override
    public void close() {
        connection.close();
    }

    private static Optional<HostList> parse(byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            if (json == null || !json.path("hosts").isArray()) {
                return Optional.empty();
            }
            List<Host> hosts = new ArrayList<>();
            for (JsonNode entry : json.get("hosts")) {
                toHost(entry).ifPresent(hosts::add);
            }
            int skipped = json.get("hosts").size() - hosts.size();
            long age = Math.max(0, json.path("ageMillis").asLong());
            return Optional.of(new HostList(age, List.copyOf(hosts), skipped));
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<Host> toHost(JsonNode json) {
        String name = json.path("host").asText();
        String dataCentre = json.path("dataCentre").asText();
        String state = json.path("state").asText();
        Optional<Host.Role> role = toRole(json.path("role").asText());
        boolean validState = state.equals("live") || state.equals("leaving");
        if (!StringId.isValid(name)
                || !StringId.isValid(dataCentre)
                || role.isEmpty()
                || !validState
                || !json.hasNonNull("address")) {
            return Optional.empty();
        }
        Optional<Host.Serving> serving = toServing(json);
        if (role.get() == Host.Role.BACKEND && serving.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new Host(
                        name,
                        role.get(),
                        DataCentreId.of(dataCentre),
                        json.path("rack").asText(""),
                        json.get("address").asText(),
                        state.equals("leaving"),
                        serving,
                        Resources.of(
                                json.path("milliCores").asLong(),
                                json.path("memoryMiB").asLong(),
                                json.path("accelerators").asLong())));
    }

    private static Optional<Host.Role> toRole(String text) {
        for (Host.Role role : Host.Role.values()) {
            if (role.name().toLowerCase(Locale.ROOT).equals(text)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }

    private static Optional<Host.Serving> toServing(JsonNode json) {
        String service = json.path("service").asText();
        return StringId.isValid(service)
                ? Optional.of(
                        new Host.Serving(
                                ServiceId.of(service),
                                json.path("slots").asInt(),
                                json.path("connections").asInt()))
                : Optional.empty();
    }
}
