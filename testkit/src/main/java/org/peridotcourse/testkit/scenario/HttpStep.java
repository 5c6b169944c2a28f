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
 * Sends the request of a step and checks its conditions.
 *
 * <p>The words of a request are {@code METHOD URL [-H Name=Value]... [-d BODY]}. Conditions are
 * {@code status N}, {@code header NAME VALUE}, {@code json POINTER OPERATOR VALUE} with the
 * operators {@code ==}, {@code !=}, {@code >=}, {@code <=}, {@code has TEXT}, {@code lacks TEXT},
 * {@code failed}, {@code within MILLIS} and those of {@link Records}. It is thread-safe.
 */
final class HttpStep {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIME_OUT = Duration.ofSeconds(70);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    /** An answer, or status 0 and the error's text. */
    record Answer(int status, HttpResponse<String> response, String body, long millis) {
        static Answer of(String body) {
            return new Answer(200, null, body, 0);
        }

        String header(String name) {
            return response == null ? "" : response.headers().firstValue(name).orElse("");
        }
    }

    CompletableFuture<Answer> send(List<String> words) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(words.get(1)));
        builder.timeout(TIME_OUT);
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
        long begin = System.nanoTime();
        return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> answer(response, System.nanoTime() - begin))
                .exceptionally(error -> new Answer(0, null, "no answer", 0));
    }

    private static Answer answer(HttpResponse<String> response, long nanos) {
        return new Answer(response.statusCode(), response, response.body(), nanos / 1_000_000);
    }

    static boolean holds(Answer answer, List<String> condition) {
        return switch (condition.get(0)) {
            case "status" -> answer.status() == Integer.parseInt(condition.get(1));
            case "header" -> answer.header(condition.get(1)).equals(condition.get(2));
            case "has" -> answer.body().contains(condition.get(1));
            case "lacks" -> !answer.body().contains(condition.get(1));
            case "failed" -> answer.status() == 0;
            case "within" -> answer.millis() <= Long.parseLong(condition.get(1));
            case "count" -> Records.count(answer.body(), condition);
            case "distinct" -> Records.distinct(answer.body(), condition);
            case "exclusive" -> Records.exclusive(answer.body());
            case "json" -> compare(value(answer, condition.get(1)), condition);
            default -> false;
        };
    }

    static String value(Answer answer, String pointer) {
        JsonNode node = tree(answer.body()).at(pointer);
        if (node.isArray() || node.isObject()) {
            return Integer.toString(node.size());
        }
        return node.isMissingNode() ? "missing" : node.asText();
    }

    private static boolean compare(String found, List<String> condition) {
        String wanted = condition.get(3);
        return switch (condition.get(2)) {
            case "==" -> found.equals(wanted);
            case "!=" -> !found.equals(wanted);
            case ">=" -> isNumber(found) && Double.parseDouble(found) >= Double.parseDouble(wanted);
            case "<=" -> isNumber(found) && Double.parseDouble(found) <= Double.parseDouble(wanted);
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
