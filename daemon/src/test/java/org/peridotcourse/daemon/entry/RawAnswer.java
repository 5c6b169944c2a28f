package org.peridotcourse.daemon.entry;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A complete HTTP response as read from a socket.
 *
 * @param status the status
 * @param headers values by name in lower case
 * @param body the body
 */
record RawAnswer(int status, Map<String, String> headers, String body) {
    /**
     * Reads one response and nothing after it.
     *
     * @throws IOException if the connection ends first or the response is malformed
     */
    static RawAnswer read(InputStream in) throws IOException {
        String statusLine = readLine(in);
        if (!statusLine.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("not a status line: " + statusLine);
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(": ");
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 2));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new RawAnswer(
                Integer.parseInt(statusLine.substring(9, 12)),
                headers,
                new String(body, StandardCharsets.UTF_8));
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended after: " + line);
            }
            if (next == '\n') {
                return line.toString().stripTrailing();
            }
            line.append((char) next);
        }
    }
}
