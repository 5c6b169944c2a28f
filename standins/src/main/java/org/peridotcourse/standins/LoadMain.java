package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load client: sends requests at pseudorandom arrival times derived from a seed, whether
 * or not earlier requests have ended, and prints the results as one line of JSON.
 *
 * <p>Requests are distributed round-robin over the entry addresses. Plans carry a request key. Each
 * request carries a nonce, and a response whose body contains a different nonce is counted as
 * crossed. The HTTP client of the JDK retries a GET if the reused connection was closed before the
 * first byte of the response, so such a loss is not counted.
 */
public final class LoadMain {
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final LoadStatistics runStatistics = new LoadStatistics();
    private final LoadStatistics warmUpStatistics = new LoadStatistics();
    private final Phaser inFlight = new Phaser(1);
    private final String[] entryAddresses;
    private final String service;
    private final String keyPrefix;
    private final long deadlineMillis;
    private final long paddingBytes;
    private final boolean direct;

    private LoadMain(CommandLineOptions options) {
        this.entryAddresses = options.texts("entry");
        this.service = options.text("service", "despacho");
        this.keyPrefix = options.text("run", "load-" + ProcessHandle.current().pid());
        this.deadlineMillis = options.number("deadline-ms", 2000);
        this.paddingBytes = options.number("bytes", 0);
        this.direct = options.text("direct", "no").equals("yes");
    }

    /**
     * Sends the load and prints the result.
     *
     * @param arguments the command-line options
     */
    public static void main(String... arguments) {
        CommandLineOptions options =
                new CommandLineOptions()
                        .withOption(
                                "entry", "address of an entry host; may be given more than once")
                        .withOption("rate", "arrivals per second")
                        .withOption("seconds", "duration of the counted run")
                        .withOption(
                                "warm-up-seconds",
                                "duration of the preceding warm-up, which is not counted")
                        .withOption("customers", "NAME:SHARE,...")
                        .withOption("kinds", "lookup:SHARE,plan:SHARE,watch:SHARE")
                        .withOption("service", "the service")
                        .withOption("deadline-ms", "deadline of each request")
                        .withOption("bytes", "padding in each response of the stand-in, in bytes")
                        .withOption("seed", "seed of the arrivals")
                        .withOption("run", "prefix of request keys")
                        .withOption(
                                "direct", "yes if the entry address is that of a backend server")
                        .parse("load", arguments);
        if (!options.has("entry")) {
            System.err.println("load: --entry is missing");
            System.exit(2);
        }
        ArrivalGenerator arrivals =
                new ArrivalGenerator(
                        options.number("seed", 1),
                        options.text("customers", "rutas"),
                        options.text("kinds", "lookup:1"),
                        options.number("rate", 50));
        LoadMain load = new LoadMain(options);
        double seconds = options.number("seconds", 10);
        load.send(arrivals, options.number("warm-up-seconds", 0), seconds);
        System.out.println(load.runStatistics.json(seconds));
    }

    private void send(ArrivalGenerator arrivals, double warmUpSeconds, double seconds) {
        long beginNanos = System.nanoTime();
        double arrivalSeconds = arrivals.nextInterarrivalSeconds();
        while (arrivalSeconds < warmUpSeconds + seconds) {
            long scheduledNanos = beginNanos + (long) (arrivalSeconds * 1e9);
            long remainingNanos = scheduledNanos - System.nanoTime();
            while (remainingNanos > 0) {
                LockSupport.parkNanos(remainingNanos);
                remainingNanos = scheduledNanos - System.nanoTime();
            }
            send(
                    arrivals.next(),
                    scheduledNanos,
                    arrivalSeconds < warmUpSeconds ? warmUpStatistics : runStatistics);
            arrivalSeconds += arrivals.nextInterarrivalSeconds();
        }
        try {
            int phase = inFlight.arrive();
            inFlight.awaitAdvanceInterruptibly(
                    phase, deadlineMillis + 10_000, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("load: some requests are still in flight");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(
            ArrivalGenerator.Arrival arrival, long scheduledNanos, LoadStatistics statistics) {
        String nonce = keyPrefix + "-" + arrival.number();
        String entryAddress = entryAddresses[(int) (arrival.number() % entryAddresses.length)];
        String path =
                "/r/"
                        + arrival.customer()
                        + "/"
                        + service
                        + arrival.kind().path
                        + "?nonce="
                        + nonce;
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://" + entryAddress + path + "&bytes=" + paddingBytes))
                        .timeout(Duration.ofMillis(deadlineMillis + 5000))
                        .header("Peridot-Kind", arrival.kind().header)
                        .header("Peridot-Deadline-Ms", Long.toString(deadlineMillis))
                        .method(arrival.kind().method, HttpRequest.BodyPublishers.noBody());
        if (arrival.kind() == ArrivalGenerator.Kind.PLAN) {
            request.header("Peridot-Key", nonce);
        }
        statistics.sent();
        inFlight.register();
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .whenComplete(
                        (response, failure) -> {
                            recordEnd(
                                    arrival, nonce, response, failure, scheduledNanos, statistics);
                            inFlight.arriveAndDeregister();
                        });
    }

    private void recordEnd(
            ArrivalGenerator.Arrival arrival,
            String nonce,
            HttpResponse<String> response,
            Throwable failure,
            long scheduledNanos,
            LoadStatistics statistics) {
        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - scheduledNanos);
        if (response == null) {
            statistics.ended(arrival, "no-response", reason(failure), micros, false);
            return;
        }
        String outcome = response.headers().firstValue("Peridot-Outcome").orElse("no-outcome");
        if (direct && response.statusCode() == 200) {
            outcome = "answered";
        }
        JsonNode body = body(response);
        if (outcome.equals("answered") && response.statusCode() == 200) {
            if (!body.path("query").path("nonce").asText().equals(nonce)) {
                statistics.crossed();
            }
        }
        boolean good = response.statusCode() == 200 && micros <= deadlineMillis * 1000;
        statistics.ended(arrival, outcome, body.path("reason").asText(""), micros, good);
    }

    /** Returns the exception's name, which tells a refused connection from one that ended early. */
    private static String reason(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause.getClass().getSimpleName();
    }

    private static JsonNode body(HttpResponse<String> response) {
        try {
            return Json.MAPPER.readTree(response.body());
        } catch (IOException e) {
            return Json.object();
        }
    }
}
