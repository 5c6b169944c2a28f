package org.peridotcourse.daemon.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.entry.Caller;
import org.peridotcourse.daemon.entry.CallerResponse;
import org.peridotcourse.daemon.entry.IncomingCall;
import org.peridotcourse.daemon.http.ChannelFailure;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.http.PooledHttpClient;

/**
 * Client and server side of the calls between hosts: forwarded calls of callers, the configuration,
 * and the ownership. Confined to the event loop.
 */
final class PeerHostClient {
    /** Header of a call that came from another host, which is not forwarded again. */
    static final String FORWARDED_HEADER = "Peridot-Forwarded";

    /** Header with the version of the configuration of the host that forwarded a call. */
    private static final String CONFIG_VERSION_HEADER = "Peridot-Config-Version";

    /**
     * Header with the milliseconds since the configuration of a host was last confirmed as the
     * newest one.
     */
    private static final String CONFIG_AGE_HEADER = "Peridot-Config-Age";

    private static final String AUTHORIZATION_HEADER = "Authorization";

    /** Path under which a host serves its configuration row. */
    static final String CONFIG_PATH = "/peer/config";

    /** Header with the key of the row in the response to {@link #CONFIG_PATH}. */
    static final String ROW_KEY_HEADER = "Peridot-Row-Key";

    /** Path under which a host is notified of a later owner. */
    static final String STAND_DOWN_PATH = "/peer/stand-down";

    /** Path under which a host reports whether it accepts the ownership. */
    static final String ACCEPTS_OWNERSHIP_PATH = "/peer/willing";

    private static final String AFTER_PARAMETER = "after=";
    private static final String EPOCH_PARAMETER = "epoch=";
    private static final int MAX_ACTIVE_CALLS = 16;
    private static final long TIMEOUT_MILLIS = 500;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final List<String> FORWARDED_RESPONSE_HEADERS =
            List.of("retry-after", "content-type", "www-authenticate");

    private final PooledHttpClient http;
    private final String hostName;
    private final String operatorTable;

    PeerHostClient(PooledHttpClient http, String hostName, String operatorTable) {
        this.http = http;
        this.hostName = hostName;
        this.operatorTable = operatorTable;
    }

    /** Listens to the outcome of a forwarded call. */
    interface ForwardListener {
        /** Called with the response of the other host. */
        void onResponse(CallerResponse response);

        /** Called if there is no response. */
        void onFailure(ChannelFailure failure);
    }

    /**
     * Forwards a call with its API key, which the other host checks.
     *
     * @param configVersion the version of the configuration of this host; a host with an older one
     *     rejects the call
     */
    void forward(
            InetSocketAddress peer,
            IncomingCall call,
            long configVersion,
            long timeoutMillis,
            ForwardListener handler) {
        Map<String, String> headers = new LinkedHashMap<>();
        call.header("host").ifPresent(host -> headers.put("X-Forwarded-Host", host));
        singleValue(call, AUTHORIZATION_HEADER)
                .ifPresent(key -> headers.put(AUTHORIZATION_HEADER, key));
        headers.put(FORWARDED_HEADER, hostName);
        headers.put(CONFIG_VERSION_HEADER, Long.toString(configVersion));
        if (call.body().length > 0) {
            headers.put("Content-Type", "application/json");
        }
        HttpCall forwarded = new HttpCall(call.method(), call.path(), headers, call.body());
        http.call(
                peer,
                forwarded,
                timeoutMillis,
                MAX_ACTIVE_CALLS,
                result -> {
                    if (result instanceof Result.Ok<HttpReply> ok) {
                        handler.onResponse(toResponse(ok.value()));
                    } else {
                        handler.onFailure((ChannelFailure) result.failure().orElseThrow());
                    }
                });
    }

    private static CallerResponse toResponse(HttpReply reply) {
        List<Map.Entry<String, String>> headers =
                FORWARDED_RESPONSE_HEADERS.stream()
                        .filter(header -> reply.header(header).isPresent())
                        .map(header -> Map.entry(header, reply.header(header).orElseThrow()))
                        .toList();
        return new CallerResponse(reply.status(), headers, reply.body());
    }

    /**
     * Returns the value of a header that occurs once. A repeated header is malformed. If only one
     * of its values were forwarded, the other host could not detect that.
     */
    private static Optional<String> singleValue(IncomingCall call, String name) {
        List<String> values = call.headers().getOrDefault(lowerCase(name), List.of());
        return values.size() == 1 ? Optional.of(values.get(0)) : Optional.empty();
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the configuration version of the host that forwarded a call, 0 if the call came from
     * a caller.
     */
    static long configVersion(IncomingCall call) {
        return parseNumber(call.header(lowerCase(CONFIG_VERSION_HEADER)).orElse(""), "");
    }

    /** Listens to the configuration of another host. */
    interface ConfigListener {
        /** Called with the row of a newer version. */
        void onRow(StoredRow row);

        /**
         * Called if the version of the other host is not newer than that of this host, after {@link
         * #onRow} if it sent its row.
         *
         * @param ageMillis how long before its answer that host confirmed the version as the newest
         *     one
         */
        void onSameVersion(long ageMillis);
    }

    /** Requests a newer configuration from another host. */
    void requestConfig(InetSocketAddress peer, long knownVersion, ConfigListener handler) {
        HttpCall call = HttpCall.get(CONFIG_PATH + "?" + AFTER_PARAMETER + knownVersion);
        http.call(
                peer,
                call,
                TIMEOUT_MILLIS,
                MAX_ACTIVE_CALLS,
                result -> {
                    if (result instanceof Result.Ok<HttpReply> ok) {
                        onConfig(ok.value(), handler);
                    }
                });
    }

    private void onConfig(HttpReply reply, ConfigListener handler) {
        if (reply.status() == OK) {
            toRow(reply).ifPresent(handler::onRow);
        }
        reply.header(lowerCase(CONFIG_AGE_HEADER))
                .map(age -> parseNumber(age, ""))
                .ifPresent(handler::onSameVersion);
    }

    private Optional<StoredRow> toRow(HttpReply reply) {
        Optional<String> key = reply.header(ROW_KEY_HEADER);
        return key.map(name -> new StoredRow(operatorTable, name, reply.body(), 1, false));
    }

    /**
     * Notifies another host that a later owner exists.
     *
     * @param handler runs once that host, or a later incarnation of it, has confirmed that it sends
     *     no orders
     */
    void requestStandDown(InetSocketAddress peer, long epoch, Runnable handler) {
        HttpCall call = HttpCall.get(STAND_DOWN_PATH + "?" + EPOCH_PARAMETER + epoch);
        http.call(
                peer,
                call,
                TIMEOUT_MILLIS,
                MAX_ACTIVE_CALLS,
                result -> {
                    if (result instanceof Result.Ok<HttpReply> ok && ok.value().status() == OK) {
                        handler.run();
                    }
                });
    }

    /** Queries whether another host accepts the ownership; the handler runs only if it does. */
    void requestAcceptsOwnership(InetSocketAddress peer, Runnable handler) {
        http.call(
                peer,
                HttpCall.get(ACCEPTS_OWNERSHIP_PATH),
                TIMEOUT_MILLIS,
                MAX_ACTIVE_CALLS,
                result -> {
                    if (result instanceof Result.Ok<HttpReply> ok && ok.value().status() == OK) {
                        handler.run();
                    }
                });
    }

    /** Responds with a status that shows whether this host accepts the ownership. */
    static void serveAcceptsOwnership(boolean accepts, Caller caller) {
        caller.respond(new CallerResponse(accepts ? OK : NOT_MODIFIED, List.of(), new byte[0]));
    }

    /**
     * Ends the ownership if this host owns an earlier epoch, and confirms that it sends no orders
     * of such an epoch.
     */
    static void serveStandDown(OwnerElection election, IncomingCall call, Caller caller) {
        long epoch = parseNumber(call.query().orElse(""), EPOCH_PARAMETER);
        election.onLaterOwner(epoch);
        caller.respond(new CallerResponse(OK, List.of(), new byte[0]));
    }

    /** Answers a request of another host for the configuration. */
    static void serveConfig(ConfigTracker config, IncomingCall call, Caller caller, long now) {
        long knownVersion = parseNumber(call.query().orElse(""), AFTER_PARAMETER);
        long currentVersion = config.config().version();
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        if (currentVersion >= knownVersion && config.configAge().isEverConfirmed()) {
            headers.add(
                    Map.entry(CONFIG_AGE_HEADER, Long.toString(config.configAge().ageMillis(now))));
        }
        Optional<StoredRow> row = config.currentRow();
        if (row.isEmpty() || currentVersion <= knownVersion) {
            caller.respond(new CallerResponse(NOT_MODIFIED, headers, new byte[0]));
            return;
        }
        headers.add(Map.entry("Content-Type", "application/json"));
        headers.add(Map.entry(ROW_KEY_HEADER, row.get().key()));
        caller.respond(new CallerResponse(OK, headers, row.get().value()));
    }

    /** Parses the number after a prefix; returns 0 if there is none. */
    private static long parseNumber(String query, String prefix) {
        try {
            return query.startsWith(prefix) ? Long.parseLong(query.substring(prefix.length())) : 0;
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }
}
