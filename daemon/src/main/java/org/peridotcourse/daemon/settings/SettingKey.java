package org.peridotcourse.daemon.settings;

import java.util.Optional;

/**
 * Every key that a settings file may contain. This is the schema; docs/SETTINGS.md lists the same
 * keys.
 *
 * <p>Constants are immutable and thread-safe.
 */
public enum SettingKey {
    /** Name of the daemon. */
    DAEMON_NAME("daemon.name", SettingType.IDENTIFIER, null, "Name of this daemon, unique."),
    /** Data centre of the daemon. */
    DATA_CENTRE("daemon.data-centre", SettingType.IDENTIFIER, null, "Data centre of this host."),
    /** Region of the data centre. */
    REGION("daemon.region", SettingType.IDENTIFIER, null, "Region of the data centre."),
    /** Time limit of an orderly stop. */
    STOP_TIMEOUT(
            "daemon.stop-timeout",
            SettingType.DURATION,
            "30s",
            1_000,
            300_000,
            "The process exits at the latest this long after SIGTERM."),
    /** Time for which a stopping daemon still accepts connections. */
    BALANCER_DELAY(
            "daemon.balancer-delay",
            SettingType.DURATION,
            "3s",
            0,
            60_000,
            "After SIGTERM, new connections are accepted for this long, until the load balancer"
                    + " has seen that the host is not ready."),
    /** Listening address for callers. */
    ENTRY_ADDRESS("entry.address", SettingType.ADDRESS, null, "Address for callers."),
    /** Time within which a whole request must arrive. */
    READ_TIMEOUT(
            "entry.read-timeout",
            SettingType.DURATION,
            "5s",
            100,
            60_000,
            "Head and body of a request must arrive within this time (408)."),
    /** Largest request head. */
    MAX_HEAD("entry.max-head", SettingType.SIZE, "16KiB", 1_024, 65_536, "Largest head (431)."),
    /** Largest request body. */
    MAX_BODY("entry.max-body", SettingType.SIZE, "1MiB", 1_024, 1 << 22, "Largest body (413)."),
    /** Largest response body of a backend server. */
    MAX_ANSWER(
            "entry.max-answer",
            SettingType.SIZE,
            "1MiB",
            1_024,
            1 << 22,
            "Largest body of a backend server's answer; a larger one counts as broken (502)."),
    /** Largest total size of request and response bodies in memory, in bytes. */
    MAX_BUFFERED(
            "entry.max-buffered",
            SettingType.SIZE,
            "6MiB",
            1 << 20,
            1 << 28,
            "Bodies of requests and responses in memory; beyond it, requests are refused (503)."),
    /** Largest number of callers' connections. */
    MAX_CONNECTIONS(
            "entry.max-connections",
            SettingType.COUNT,
            "600",
            16,
            100_000,
            "Open connections of callers; further ones are closed at once."),
    /** Capacity of the router's ring. */
    RING_CAPACITY(
            "entry.ring-capacity",
            SettingType.COUNT,
            "4096",
            64,
            65_536,
            "Events that may wait for the router thread; beyond it, requests are refused (503)."),
    /** Capacity of the ring of the thread that claims request keys. */
    KEY_RING_CAPACITY(
            "entry.key-ring-capacity",
            SettingType.COUNT,
            "1024",
            16,
            65_536,
            "Request keys that may wait to be claimed; beyond it, requests are refused (503)."),
    /** Interval within which claims are batched into one transaction. */
    CLAIM_INTERVAL(
            "entry.claim-interval",
            SettingType.DURATION,
            "5ms",
            1,
            1_000,
            "Claims of request keys within this time share one transaction."),
    /** Longest segment of a watch. */
    WATCH_SEGMENT(
            "entry.watch-segment",
            SettingType.DURATION,
            "10s",
            100,
            20_000,
            "Longest segment of a watch."),
    /** Listening address of the admin server. */
    ADMIN_ADDRESS("admin.address", SettingType.ADDRESS, null, "Address for operators."),
    /** Listening address of the peer server. */
    PEER_ADDRESS("peer.address", SettingType.ADDRESS, null, "Address for other daemons."),
    /** Peers to contact at startup. */
    PEER_SEEDS(
            "peer.seeds",
            SettingType.ADDRESS_LIST,
            "",
            "Peers that are queried when the platform is unavailable at startup."),
    /** Address of the platform. */
    PLATFORM_ADDRESS("platform.address", SettingType.ADDRESS, null, "Address of the platform."),
    /** Time-out of a call to the platform. */
    PLATFORM_TIMEOUT(
            "platform.timeout",
            SettingType.DURATION,
            "1s",
            50,
            30_000,
            "Longest wait for the platform's answer to one call.");

    private final String path;
    private final SettingType type;
    private final String defaultText;
    private final long min;
    private final long max;
    private final String description;

    SettingKey(String path, SettingType type, String defaultText, String description) {
        this(path, type, defaultText, 0, 0, description);
    }

    SettingKey(
            String path,
            SettingType type,
            String defaultText,
            long min,
            long max,
            String description) {
        this.path = path;
        this.type = type;
        this.defaultText = defaultText;
        this.min = min;
        this.max = max;
        this.description = description;
    }

    /**
     * Returns the section of the file.
     *
     * @return the name between the brackets
     */
    public String section() {
        return path.substring(0, path.indexOf('.'));
    }

    /**
     * Returns the key within the section.
     *
     * @return the key
     */
    public String key() {
        return path.substring(path.indexOf('.') + 1);
    }

    /**
     * Returns the kind of value.
     *
     * @return the type
     */
    public SettingType type() {
        return type;
    }

    /**
     * Returns the default.
     *
     * @return the text of the default, or empty if the key is required
     */
    public Optional<String> defaultText() {
        return Optional.ofNullable(defaultText);
    }

    /**
     * Returns the meaning of the value.
     *
     * @return a sentence
     */
    public String description() {
        return description;
    }

    /**
     * Returns the allowed values.
     *
     * @return notation and range
     */
    public String allowed() {
        if (!type.isNumber()) {
            return type.notation();
        }
        return type.notation() + ", " + type.format(min) + " to " + type.format(max);
    }

    Optional<Object> parse(String text) {
        return type.parse(text, min, max);
    }
}
