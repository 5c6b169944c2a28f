package org.peridotcourse.bench;

/** Size of the HTTP headers, which byte counts include. TCP and IP headers are not counted. */
final class HttpOverhead {
    /** Headers of a request with a body, as the daemon's client writes them, and of its reply. */
    static final int BYTES =
            ("POST /v1/transactions HTTP/1.1\r\nHost: 10.20.30.40:8080\r\n"
                            + "Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n"
                            + "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                            + "Content-Length: 1000\r\n\r\n")
                    .length();

    private HttpOverhead() {}
}
