package org.peridotcourse.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A complete response to a caller.
 *
 * <p>Instances are immutable and thread-safe as long as nobody writes to the body array.
 *
 * @param status the HTTP status
 * @param headers names and values in the order of sending, without framing headers
 * @param body the body, empty for none
 */
public record CallerResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {
    /**
     * Copies the headers.
     *
     * @param status the HTTP status
     * @param headers names and values
     * @param body the body
     */
    public CallerResponse {
        headers = List.copyOf(headers);
    }

    /**
     * Returns a copy with one more header.
     *
     * @param name the name
     * @param value the value
     * @return the copy
     */
    public CallerResponse withHeader(String name, String value) {
        List<Map.Entry<String, String>> extended = new ArrayList<>(headers);
        extended.add(Map.entry(name, value));
        return new CallerResponse(status, extended, body);
    }

    /**
     * Encodes the response for a connection that is closed afterwards.
     *
     * @return head and body
     */
    byte[] toBytes() {
        StringBuilder head = new StringBuilder(256);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reasonPhrase()).append("\r\n");
        headers.forEach(
                header ->
                        head.append(header.getKey())
                                .append(": ")
                                .append(header.getValue())
                                .append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("Connection: close\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] encoded = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, encoded, 0, headBytes.length);
        System.arraycopy(body, 0, encoded, headBytes.length, body.length);
        return encoded;
    }

    private String reasonPhrase() {
        return switch (status) {
            case 400 -> "Bad Request";
            case 408 -> "Request Timeout";
            case 413 -> "Payload Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
