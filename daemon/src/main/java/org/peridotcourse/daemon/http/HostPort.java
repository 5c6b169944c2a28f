package org.peridotcourse.daemon.http;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of the form host:port. It holds no state and is thread-safe. */
public final class HostPort {
    private static final Pattern HOST_AND_PORT = Pattern.compile("(.+):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    private HostPort() {}

    /**
     * Parses an address and resolves the name of its host.
     *
     * @param text the host, a colon and the port
     * @return the address, or empty if the text does not have this form or the port is too large
     */
    public static Optional<InetSocketAddress> parse(String text) {
        return parseUnresolved(text)
                .map(found -> new InetSocketAddress(found.getHostString(), found.getPort()));
    }

    /**
     * Parses an address without resolving the name of its host.
     *
     * @param text the host, a colon and the port
     * @return the unresolved address, or empty if the text does not have this form or the port is
     *     too large
     */
    public static Optional<InetSocketAddress> parseUnresolved(String text) {
        Matcher matcher = HOST_AND_PORT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        return port <= MAX_PORT
                ? Optional.of(InetSocketAddress.createUnresolved(matcher.group(1), port))
                : Optional.empty();
    }
}
