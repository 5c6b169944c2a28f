package org.peridotcourse.bench;

/** Sizes of HTTP heads, which the figures of bytes include; those of TCP and IP are left out. */
final class HttpOverhead {
    /** Head of a request with a body and of its reply, as the daemon's client writes them. */
    static final int BYTES =
            ("POST /v1/transactions HTTP/1.1\r\nHost: 10.20.30.40:8080\r\n"
                            + "Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n"
                            + "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Content-Length: 1000\r\n\r\n")
                    .length();

    private HttpOverhead() {}
}
