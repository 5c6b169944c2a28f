import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback address; base of the stand-ins of the review. */
abstract class Server {
    /** A call to a stand-in. */
    record Call(String method, String path, String query, String instance, byte[] body) {}

    /** An answer; status 0 closes the connection without an answer. */
    record Answer(int status, String body) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    Server(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
    }

    abstract Answer answer(Call call) throws Exception;

    final void open() {
        server.start();
    }

    final String address() {
        return server.getAddress().getAddress().getHostAddress()
                + ":"
                + server.getAddress().getPort();
    }

    /** Closes the port and all connections, as the end of a process does. */
    final void shut() {
        server.stop(0);
        threads.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String query = exchange.getRequestURI().getRawQuery();
            Answer answer =
                    answer(
                            new Call(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query == null ? "" : query,
                                    exchange.getRequestHeaders().getFirst("X-Expect-Instance"),
                                    body));
            if (answer.status() == 0) {
                return;
            }
            byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } catch (IOException broken) {
            throw broken;
        } catch (Exception malformed) {
            exchange.sendResponseHeaders(400, -1);
        }
    }
}
