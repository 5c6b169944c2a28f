import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A requester. */
final class Client2 {
    private static final String PREFIX = "/queue/";
    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    /** Returns the status and the body, or "-1 ..." if there is no answer. */
    String call(int port, String method, String id, String body) throws InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + PREFIX + id))
                        .timeout(Duration.ofSeconds(3))
                        .header("X-Deadline-Ms", "3000")
                        .header("Content-Type", "application/json")
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> response =
                    http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (IOException failed) {
            return "-1 " + failed.getClass().getSimpleName();
        }
    }
}
