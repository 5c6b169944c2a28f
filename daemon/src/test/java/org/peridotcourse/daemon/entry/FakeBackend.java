package org.peridotcourse.daemon.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Backend server over plain sockets; a script writes its complete or broken responses. */
final class FakeBackend implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Script script = FakeBackend::ok;

    FakeBackend() throws IOException {
        start(this::accept);
    }

    /** A request as the backend server received it. */
    record Received(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Writes the response to a request; a false result closes the connection. */
    @FunctionalInterface
    interface Script {
        boolean respond(Received request, OutputStream out) throws Exception;
    }

    static boolean ok(Received request, OutputStream out) throws IOException {
        return send(out, request, 200, "", "ran " + request.line());
    }

    static boolean send(OutputStream out, Received request, int status, String headers, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head(status, request.header("Peridot-Request"), headers, bytes.length));
        whole.write(bytes);
        out.write(whole.toByteArray());
        return true;
    }

    static byte[] head(int status, String echo, String headers, int length) {
        return ("HTTP/1.1 "
                        + status
                        + " Text\r\nPeridot-Request: "
                        + echo
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    List<Received> received() {
        return received;
    }

    int connections() {
        return sockets.size();
    }

    void script(Script next) {
        script = next;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                if (server.isClosed()) {
                    // Accepted while the server was closed, so that close() did not see it.
                    socket.close();
                } else {
                    start(() -> serve(socket));
                }
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Received request = read(in); request != null; request = read(in)) {
                received.add(request);
                if (!script.respond(request, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException ended) {
            // The entry host closed the connection.
        } catch (Exception fault) {
            throw new UncheckedIOException(new IOException(fault));
        }
    }

    private static Received read(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                String text = line.toString().trim();
                line.setLength(0);
                if (text.isEmpty()) {
                    break;
                }
                lines.add(text);
            } else {
                line.append((char) c);
            }
        }
        if (lines.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String text : lines.subList(1, lines.size())) {
            int colon = text.indexOf(':');
            headers.put(
                    text.substring(0, colon).toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Received(lines.get(0), headers, in.readNBytes(length));
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(action, "fake-backend");
        thread.setDaemon(true);
        thread.start();
    }
}
