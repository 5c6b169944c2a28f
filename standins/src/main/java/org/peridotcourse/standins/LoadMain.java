package org.peridotcourse.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load client: sends requests at seeded arrival times, whether or not earlier ones have
 * ended, and prints one line of JSON with the results.
 *
 * <p>Arrivals go to the entry addresses in turn. Plans carry a request key. Each request carries a
 * nonce, and a response whose body has another one is counted as crossed. The HTTP client of the
 * JDK repeats a GET whose reused connection was closed before the first byte of the response, so
 * such a loss is not counted.
 */
public final class LoadMain {
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final LoadTally tally = new LoadTally();
    private final LoadTally warmUpTally = new LoadTally();
    private final Phaser running = new Phaser(1);
    private final String[] entries;
    private final String service;
    private final String run;
    private final long deadlineMillis;
    private final long bytes;
    private final boolean direct;

    private LoadMain(CommandLineOptions options) {
        this.entries = options.texts("entry");
        this.service = options.text("service", "despacho");
        this.run = options.text("run", "load-" + ProcessHandle.current().pid());
        this.deadlineMillis = options.number("deadline-ms", 2000);
        this.bytes = options.number("bytes", 0);
        this.direct = options.text("direct", "no").equals("yes");
    }

    /**
     * Sends the load and prints the result.
     *
     * @param arguments the options
     */
    public static void main(String... arguments) {
        CommandLineOptions options =
                new CommandLineOptions()
                        .with("entry", "address of an entry host; may be repeated")
                        .with("rate", "arrivals per second")
                        .with("seconds", "length of the counted run")
                        .with("warm-up-seconds", "time before it, whose requests do not count")
                        .with("customers", "NAME:SHARE,...")
                        .with("kinds", "lookup:SHARE,plan:SHARE,watch:SHARE")
                        .with("service", "the service")
                        .with("deadline-ms", "deadline of each request")
                        .with("bytes", "padding of the responses of the stand-in")
                        .with("seed", "seed of the arrivals")
                        .with("run", "prefix of request keys")
                        .with("direct", "yes when the entry address is a backend server's")
                        .parse("load", arguments);
        if (!options.has("entry")) {
            System.err.println("load: --entry is missing");
            System.exit(2);
        }
        LoadPlan plan =
                new LoadPlan(
                        options.number("seed", 1),
                        options.text("customers", "rutas"),
                        options.text("kinds", "lookup:1"),
                        options.number("rate", 50));
        LoadMain load = new LoadMain(options);
        double seconds = options.number("seconds", 10);
        load.send(plan, options.number("warm-up-seconds", 0), seconds);
        System.out.println(load.tally.json(seconds));
    }

    private void send(LoadPlan plan, double warmUpSeconds, double seconds) {
        long begin = System.nanoTime();
        double at = plan.nextGapSeconds();
        while (at < warmUpSeconds + seconds) {
            long planned = begin + (long) (at * 1e9);
            long wait = planned - System.nanoTime();
            while (wait > 0) {
                LockSupport.parkNanos(wait);
                wait = planned - System.nanoTime();
            }
            send(plan.next(), planned, at < warmUpSeconds ? warmUpTally : tally);
            at += plan.nextGapSeconds();
        }
        try {
            int phase = running.arrive();
            running.awaitAdvanceInterruptibly(
                    phase, deadlineMillis + 10_000, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("load: some requests have not ended");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(LoadPlan.Arrival arrival, long planned, LoadTally counts) {
        String nonce = run + "-" + arrival.number();
        String entry = entries[(int) (arrival.number() % entries.length)];
        String path =
                "/r/"
                        + arrival.customer()
                        + "/"
                        + service
                        + arrival.kind().path
                        + "?nonce="
                        + nonce;
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + entry + path + "&bytes=" + bytes))
                        .timeout(Duration.ofMillis(deadlineMillis + 5000))
                        .header("Peridot-Kind", arrival.kind().header)
                        .header("Peridot-Deadline-Ms", Long.toString(deadlineMillis))
                        .method(arrival.kind().method, HttpRequest.BodyPublishers.noBody());
        if (arrival.kind() == LoadPlan.Kind.PLAN) {
            request.header("Peridot-Key", nonce);
        }
        counts.sent();
        running.register();
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .whenComplete(
                        (response, failure) -> {
                            end(arrival, nonce, response, planned, counts);
                            running.arriveAndDeregister();
                        });
    }

    private void end(
            LoadPlan.Arrival arrival,
            String nonce,
            HttpResponse<String> response,
            long planned,
            LoadTally counts) {
        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - planned);
        if (response == null) {
            counts.ended(arrival, "no-response", "", micros, false);
            return;
        }
        String outcome = response.headers().firstValue("Peridot-Outcome").orElse("no-outcome");
        if (direct && response.statusCode() == 200) {
            outcome = "answered";
        }
        JsonNode body = body(response);
        if (outcome.equals("answered") && response.statusCode() == 200) {
            if (!body.path("query").path("nonce").asText().equals(nonce)) {
                counts.crossed();
            }
        }
        boolean good = response.statusCode() == 200 && micros <= deadlineMillis * 1000;
        counts.ended(arrival, outcome, body.path("reason").asText(""), micros, good);
    }

    private static JsonNode body(HttpResponse<String> response) {
        try {
            return Json.MAPPER.readTree(response.body());
        } catch (IOException e) {
            return Json.object();
        }
    }
}
