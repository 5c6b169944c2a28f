package org.peridotcourse.daemon.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers HTTP requests with scripted replies. For {@link #NO_REPLY} it sends nothing, and for
 * {@link #CLOSE_CONNECTION} it closes the connection after reading the request.
 */
final class ScriptedHttpServer implements AutoCloseable {
    static final String NO_REPLY = "no-reply";
    static final String CLOSE_CONNECTION = "close-connection";

    final Queue<String> replies = new ConcurrentLinkedQueue<>();
    final List<String> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;

    ScriptedHttpServer() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    /** Replaces single quotes by double quotes, so that tests can write JSON without escapes. */
    static String quoted(String text) {
        return text.replace('\'', '"');
    }

    static String reply(int status, String text) {
        String json = quoted(text);
        return "HTTP/1.1 " + status + " X\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
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
                connections.incrementAndGet();
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
            InputStream in = socket.getInputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                String lower = head.toLowerCase(Locale.ROOT);
                int lengthHeaderIndex = lower.indexOf("content-length:");
                int size =
                        lengthHeaderIndex < 0
                                ? 0
                                : Integer.parseInt(
                                        lower.substring(lengthHeaderIndex + 15)
                                                .split("\r\n")[0]
                                                .trim());
                String body = new String(in.readNBytes(size), StandardCharsets.UTF_8);
                requests.add(head.split(" HTTP")[0] + (body.isEmpty() ? "" : " " + body));
                String reply = replies.poll();
                if (reply == null || reply.equals(CLOSE_CONNECTION)) {
                    return;
                }
                if (!reply.equals(NO_REPLY)) {
                    socket.getOutputStream().write(reply.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException closed) {
            // The client has closed the connection.
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return "";
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private static void start(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }
}
