package org.peridotcourse.daemon.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Names of HTTP headers, and the rule that determines which headers are forwarded.
 *
 * <p>It holds no state and is thread-safe.
 */
final class Headers {
    static final String REQUEST = "Peridot-Request";
    static final String KIND = "Peridot-Kind";
    static final String KEY = "Peridot-Key";
    static final String DEADLINE = "Peridot-Deadline-Ms";
    static final String SEGMENT = "Peridot-Segment-Ms";
    static final String OUTCOME = "Peridot-Outcome";
    static final String RETRY_AFTER_MS = "Peridot-Retry-After-Ms";
    static final String NOT_RUN = "Peridot-Not-Run";
    static final String LEAVING = "Peridot-Leaving";

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "expect",
                    "content-length");

    private static final Set<String> SET_BY_ENTRY_HOST =
            Set.of(
                    "peridot-request",
                    "peridot-kind",
                    "peridot-key",
                    "peridot-deadline-ms",
                    "peridot-segment-ms",
                    "peridot-outcome",
                    "peridot-not-run",
                    "peridot-leaving");

    private Headers() {}

    /**
     * Returns the names, in lower case, of headers that are not forwarded: hop-by-hop headers,
     * those that the {@code Connection} header lists, and those that the entry host sets itself.
     */
    static Set<String> notForwarded(List<String> connectionValues) {
        Set<String> names = new HashSet<>(HOP_BY_HOP);
        names.addAll(SET_BY_ENTRY_HOST);
        for (String value : connectionValues) {
            for (String name : value.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
