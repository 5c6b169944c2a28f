package org.peridotcourse.daemon.control;

import org.peridotcourse.Result;
import org.peridotcourse.daemon.platform.Row;
import org.peridotcourse.daemon.platform.RowPage;

/** Estimates the bytes of a read of rows over HTTP/1.1, without the TCP and IP headers. */
final class HttpSize {
    private static final String RESPONSE_HEADER =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n";

    private HttpSize() {}

    static long bytesOfRead(String table, long since, int limit, Result<RowPage> page) {
        String request =
                "GET /v1/rows/"
                        + table
                        + "?prefix=&since="
                        + since
                        + "&limit="
                        + limit
                        + " HTTP/1.1\r\nHost: 10.20.30.40:8080\r\nContent-Length: 0\r\n\r\n";
        long size = request.length();
        if (page instanceof Result.Ok<RowPage> ok) {
            size += RESPONSE_HEADER.length() + "{'commit':,'rows':[],'more':false}".length() + 6;
            for (Row row : ok.value().rows()) {
                size += "{'key':'','commit':,'writer':'','value':},".length() + 6;
                size += row.key().length() + row.writer().length();
                size += row.value().map(value -> value.toString().length()).orElse(14);
            }
        }
        return size;
    }
}
