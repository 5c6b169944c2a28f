package org.peridotcourse.daemon.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses of the form host:port. It holds no state and is thread-safe. */
public final class HostPort {
    private static final Pattern FORM = Pattern.compile("(.+):([0-9]{1,5})");
    private static final int LARGEST_PORT = 65_535;

    private HostPort() {}

    /**
     * Reads an address.
     *
     * @param text the host, a colon and the port
     * @return the address, or empty if the text has another form or the port is too large
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port <= LARGEST_PORT
                ? Optional.of(new InetSocketAddress(matcher.group(1), port))
                : Optional.empty();
    }
}
