import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/**
 * A stand-in for a runner, as PROTOCOL.md says. A task's spec is the time in milliseconds that it
 * works, or "lasts". {@link #crash} ends one life; {@link #boot} begins the next one.
 */
final class Runner2 {
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int LISTED_ENDS = 500;

    private final Store2 store;
    private final String zone;
    private final String rack;
    private final int cpu;
    private final BiConsumer<String, String> record;
    private int port;
    private HttpServer server;
    private ExecutorService threads;
    private Timer timer;

    private String id;
    private long born;
    private long bornNanos;
    private long sequence;
    private long fence;
    private long leaseEnd;
    private long lastEnd;
    private long acknowledged;
    private boolean up;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Deque<Object[]> ends = new ArrayDeque<>();
    private final Map<String, Integer> endedAttempts = new HashMap<>();

    private static final class Run {
        String task;
        int attempt;
        int cpu;
        long startedAt;
        long workMillis;
    }

    Runner2(Store2 store, String zone, String rack, int cpu, BiConsumer<String, String> record) {
        this.store = store;
        this.zone = zone;
        this.rack = rack;
        this.cpu = cpu;
        this.record = record;
    }

    String id() {
        return id;
    }

    synchronized boolean isUp() {
        return up;
    }

    /** Starts a life with a new id at the same address. */
    synchronized void boot(String newId) throws IOException {
        id = newId;
        born = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        sequence = 0;
        fence = 0;
        leaseEnd = 0;
        lastEnd = 0;
        acknowledged = 0;
        running.clear();
        ends.clear();
        endedAttempts.clear();
        if (server != null) {
            server.stop(0);
            threads.shutdownNow();
        }
        InetSocketAddress bind = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        server = HttpServer.create(bind, 100);
        port = server.getAddress().getPort();
        threads =
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "runner");
                            thread.setDaemon(true);
                            return thread;
                        });
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        up = true;
        timer = new Timer("runner-timer", true);
        timer.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        tick();
                    }
                },
                0,
                5);
        record.accept(id, "up at " + address());
        beat();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /**
     * Ends this life, as by a loss of power: its connections stay silent until the next life. The
     * store removes its entry after three intervals of silence.
     */
    synchronized void crash() {
        up = false;
        record.accept(id, "crash with " + running.keySet());
        timer.cancel();
        running.clear();
        notifyAll();
        String ended = id;
        new Timer("removal", true)
                .schedule(
                        new TimerTask() {
                            @Override
                            public void run() {
                                store.delete("servers", ended);
                            }
                        },
                        3 * HEARTBEAT_MILLIS);
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private long lastBeat;

    private synchronized void beat() {
        lastBeat = clock();
        sequence++;
        ObjectNode entry = Store2.JSON.createObjectNode();
        entry.put("service", "svc").put("address", address()).put("zone", zone);
        entry.put("version", "1").put("slots", 8).put("state", "ready");
        entry.put("cold_remaining_ms", 0).put("sequence", sequence).put("born", born);
        entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 64_000).put("gpu", 0);
        entry.putArray("labels").add("a").add(rack);
        store.put("servers", id, entry.toString());
    }

    private synchronized void tick() {
        if (!up) {
            return;
        }
        long now = clock();
        if (now - lastBeat >= HEARTBEAT_MILLIS) {
            beat();
        }
        if (!running.isEmpty() && now >= leaseEnd) {
            new ArrayList<>(running.values()).forEach(run -> end(run, "lapsed"));
        }
        for (Run run : new ArrayList<>(running.values())) {
            if (run.workMillis > 0 && now - run.startedAt >= run.workMillis) {
                end(run, "done");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task + "#" + run.attempt);
        endedAttempts.merge(run.task, run.attempt, Math::max);
        lastEnd++;
        ends.add(new Object[] {lastEnd, run.task, run.attempt, how});
        record.accept(id, how + " " + run.task + "#" + run.attempt);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        HttpServer life = exchange.getHttpContext().getServer();
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            ObjectNode answer = Store2.JSON.createObjectNode();
            int status;
            synchronized (this) {
                String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
                awaitEndOfSilence(life);
                if (life != server) {
                    return;
                }
                if (expected != null && !expected.equals(id)) {
                    status = 421;
                } else {
                    JsonNode call = Store2.JSON.readTree(body);
                    status = answer(exchange.getRequestURI().getPath(), call, answer);
                }
                awaitEndOfSilence(life);
                if (life != server) {
                    return;
                }
                answer.put("clock_ms", clock());
            }
            byte[] bytes = Store2.JSON.writeValueAsBytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    /** A call that meets a runner without power is never answered, and not carried out. */
    private void awaitEndOfSilence(HttpServer life) throws InterruptedException {
        while (!up && life == server) {
            wait(100);
        }
    }

    private int answer(String path, JsonNode call, ObjectNode answer) throws InterruptedException {
        long token = call.path("fencing_token").asLong();
        if (token < fence) {
            answer.put("reason", "fence");
            return 409;
        }
        fence = token;
        String task = call.path("task").asText();
        int attempt = call.path("attempt").asInt();
        switch (path) {
            case "/-/run-start":
                return start(call, task, attempt, answer);
            case "/-/run-stop":
                stop(task, attempt);
                return 200;
            case "/-/pace":
                return running.containsKey(task + "#" + attempt) ? 200 : 400;
            case "/-/hold":
                return hold(call, answer);
            default:
                return 400;
        }
    }

    private void extend(JsonNode call) {
        if (call.has("expires_ms")) {
            long end = Math.min(call.path("expires_ms").asLong(), clock() + HOLD_MAX_MILLIS);
            leaseEnd = Math.max(leaseEnd, end);
        }
    }

    private int start(JsonNode call, String task, int attempt, ObjectNode answer) {
        if (running.containsKey(task + "#" + attempt)) {
            return 200;
        }
        if (call.path("expires_ms").asLong() <= clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(call);
        if (attempt <= endedAttempts.getOrDefault(task, 0)) {
            answer.put("reason", "old");
            return 409;
        }
        Run run = new Run();
        run.task = task;
        run.attempt = attempt;
        String spec = call.path("spec").asText();
        run.cpu = Integer.parseInt(spec.substring(spec.indexOf('/') + 1));
        String work = spec.substring(0, spec.indexOf('/'));
        run.workMillis = work.equals("lasts") ? 0 : Long.parseLong(work);
        run.startedAt = clock();
        if (running.values().stream().mapToInt(other -> other.cpu).sum() + run.cpu > cpu) {
            answer.put("reason", "room");
            return 409;
        }
        running.put(task + "#" + attempt, run);
        record.accept(id, "start " + task + "#" + attempt);
        return 200;
    }

    private void stop(String task, int attempt) {
        Run run = running.get(task + "#" + attempt);
        if (run != null) {
            end(run, "stopped");
        }
        endedAttempts.merge(task, attempt, Math::max);
    }

    private int hold(JsonNode call, ObjectNode answer) throws InterruptedException {
        extend(call);
        long cursor = call.path("ack_cursor").asLong();
        acknowledged = Math.max(acknowledged, cursor);
        while (!ends.isEmpty() && (long) ends.peek()[0] <= cursor) {
            ends.remove();
        }
        long until = clock() + Math.min(2_000, call.path("wait_ms").asLong());
        while (up && ends.isEmpty() && clock() < until) {
            wait(Math.max(1, until - clock()));
        }
        answer.put("born", born);
        ArrayNode list = answer.putArray("running");
        for (Run run : running.values()) {
            long percent =
                    run.workMillis == 0
                            ? 100
                            : Math.min(99, 100 * (clock() - run.startedAt) / run.workMillis);
            list.addArray().add(run.task).add(run.attempt).add("").add(percent).add(0);
        }
        ArrayNode finished = answer.putArray("finished");
        for (Object[] end : ends) {
            if (finished.size() >= LISTED_ENDS) {
                break;
            }
            finished.addArray()
                    .add((long) end[0])
                    .add((String) end[1])
                    .add((int) end[2])
                    .add((String) end[3])
                    .add("");
        }
        return 200;
    }

    /** Returns the number of ends that were not acknowledged. */
    synchronized int unacknowledgedEnds() {
        return ends.size();
    }

    synchronized List<String> runningTasks() {
        return new ArrayList<>(running.keySet());
    }

    synchronized void stopForGood() {
        if (up) {
            up = false;
            timer.cancel();
            notifyAll();
            server.stop(0);
        }
    }
}
