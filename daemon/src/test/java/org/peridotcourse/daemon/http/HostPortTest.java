package org.peridotcourse.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a duty that ends with an exception because another writer stored a malformed
 * address.
 */
class HostPortTest {
    @Test
    void parsesAddress() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 8080);
        assertEquals(Optional.of(address), HostPort.parse("127.0.0.1:8080"));
    }

    /** A port above 65535 in the row of a host raised an exception in the host directory. */
    @Test
    void malformedAddressIsEmpty() {
        for (String text : List.of("", "host", "host:", ":80", "host:x", "h:-1", "h:65536")) {
            assertTrue(HostPort.parse(text).isEmpty(), text);
        }
    }
}
