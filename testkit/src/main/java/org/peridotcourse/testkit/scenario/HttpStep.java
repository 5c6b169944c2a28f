package org.peridotcourse.testkit.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Sends the HTTP request of a step and evaluates conditions on the response.
 *
 * <p>The words of a request are {@code METHOD URL [-H Name=Value]... [-d BODY]}. Conditions are
 * {@code status N}, {@code header NAME VALUE}, {@code json POINTER OPERATOR VALUE} with the
 * operators {@code ==}, {@code !=}, {@code >=}, {@code <=}, {@code has TEXT}, {@code lacks TEXT},
 * {@code failed}, {@code within MILLIS} and those of {@link RecordConditions}. It is thread-safe.
 */
final class HttpStep {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(70);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /** A response; status 0 if the request failed. */
    record StepResponse(int status, HttpResponse<String> httpResponse, String body, long millis) {
        static StepResponse of(String body) {
            return new StepResponse(200, null, body, 0);
        }

        String header(String name) {
            return httpResponse == null ? "" : httpResponse.headers().firstValue(name).orElse("");
        }
    }

    CompletableFuture<StepResponse> send(List<String> words) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(words.get(1)));
        builder.timeout(TIMEOUT);
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.noBody();
        for (int i = 2; i < words.size(); i += 2) {
            if (words.get(i).equals("-d")) {
                body = HttpRequest.BodyPublishers.ofString(words.get(i + 1));
            } else {
                String[] header = words.get(i + 1).split("=", 2);
                builder.header(header[0], header[1]);
            }
        }
        builder.method(words.get(0), body);
        long beginNanos = System.nanoTime();
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(
                        httpResponse ->
                                toStepResponse(httpResponse, System.nanoTime() - beginNanos))
                .exceptionally(error -> new StepResponse(0, null, "no response", 0));
    }

    private static StepResponse toStepResponse(HttpResponse<String> httpResponse, long nanos) {
        return new StepResponse(
                httpResponse.statusCode(), httpResponse, httpResponse.body(), nanos / 1_000_000);
    }

    static boolean holds(StepResponse response, List<String> condition) {
        return switch (condition.get(0)) {
            case "status" -> response.status() == Integer.parseInt(condition.get(1));
            case "header" -> response.header(condition.get(1)).equals(condition.get(2));
            case "has" -> response.body().contains(condition.get(1));
            case "lacks" -> !response.body().contains(condition.get(1));
            case "failed" -> response.status() == 0;
            case "within" -> response.millis() <= Long.parseLong(condition.get(1));
            case "count" -> RecordConditions.count(response.body(), condition);
            case "distinct" -> RecordConditions.distinct(response.body(), condition);
            case "exclusive" -> RecordConditions.exclusive(response.body());
            case "json" -> compare(value(response, condition.get(1)), condition);
            default -> false;
        };
    }

    static String value(StepResponse response, String pointer) {
        JsonNode node = tree(response.body()).at(pointer);
        if (node.isArray() || node.isObject()) {
            return Integer.toString(node.size());
        }
        return node.isMissingNode() ? "missing" : node.asText();
    }

    private static boolean compare(String actual, List<String> condition) {
        String expected = condition.get(3);
        return switch (condition.get(2)) {
            case "==" -> actual.equals(expected);
            case "!=" -> !actual.equals(expected);
            case ">=" ->
                    isNumber(actual) && Double.parseDouble(actual) >= Double.parseDouble(expected);
            case "<=" ->
                    isNumber(actual) && Double.parseDouble(actual) <= Double.parseDouble(expected);
            default -> false;
        };
    }

    private static boolean isNumber(String text) {
        return text.matches("-?[0-9]+([.][0-9]+)?(E-?[0-9]+)?");
    }

    private static JsonNode tree(String body) {
        try {
            JsonNode node = JSON.readTree(body);
            return node == null ? MissingNode.getInstance() : node;
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }
}
