import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One life of a runner, by PROTOCOL.md "Running tasks". The spec of a task says what it does:
 * "cpu=N ms=N" for a task that ends as done after ms, "cpu=N lasts" for one that lasts.
 */
final class Runner extends Server {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final int LISTED_ENDS = 500;
    private static final long STARTUP_MILLIS = 400;
    static final int CAPACITY = 16_000;

    /** What all runners of a case have seen: one line for each start and end. */
    interface Listener {
        void started(Runner runner, String task, int attempt, long token);

        void ended(Runner runner, String task, int attempt, String how);

        void noted(Runner runner, String task, int attempt, String how);
    }

    private record Active(String task, int attempt, int cpu, long startedAt, long millis) {}

    private record End(long number, String task, int attempt, String how, int lapses) {}

    final String id;
    final String zone;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Store store;
    private final Listener listener;
    private final Map<String, Active> active = new LinkedHashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private long highestToken;
    private long leaseEnd;
    private long lastEnd;
    private int used;

    /** How often the lease has lapsed; an end from before a lapse is not taken note of. */
    private int lapses;

    private long lapsedLeaseEnd;
    private volatile boolean dead;

    /** True while the network between the runner and the store is cut. */
    volatile boolean storeCut;

    /** Calls with a token below this one meet a cut: their channels are reset. */
    volatile long cutBelow = Long.MIN_VALUE;

    /** Calls with a token above this one meet a cut. */
    volatile long cutAbove = Long.MAX_VALUE;

    Runner(String id, String zone, InetSocketAddress address, Store store, Listener listener)
            throws IOException {
        super(address);
        this.id = id;
        this.zone = zone;
        this.store = store;
        this.listener = listener;
        open();
        Thread pulse = new Thread(this::pulse, "runner " + id);
        pulse.setDaemon(true);
        pulse.start();
    }

    /** The process is gone: connections end, all runs and unacknowledged ends are lost. */
    void crash() {
        dead = true;
        shut();
    }

    synchronized long highestToken() {
        return highestToken;
    }

    synchronized int activeRuns() {
        return active.size();
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Reports to the store about every 1.5 s, and ends runs when their time has come. */
    private void pulse() {
        long nextBeat = 0;
        int sequence = 0;
        while (!dead) {
            if (clock() >= nextBeat && !storeCut) {
                nextBeat = clock() + 1_500;
                store.put("servers", id, entry(++sequence));
            }
            synchronized (this) {
                endRuns();
            }
            try {
                Thread.sleep(4);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private String entry(int sequence) {
        ObjectNode node = JSON.createObjectNode();
        node.put("service", "svc").put("address", address()).put("zone", zone);
        node.put("version", "v1").put("slots", 8).put("state", "ready");
        node.put("cold_remaining_ms", 0);
        node.putObject("capacity").put("cpu", CAPACITY).put("mem_mb", 64_000).put("gpu", 0);
        node.putArray("labels").add("a").add("r1-1");
        node.put("clock_ms", clock()).put("sequence", sequence).put("born", born);
        return node.toString();
    }

    @Override
    Answer answer(Call call) throws Exception {
        JsonNode body = JSON.readTree(call.body());
        long token = body.path("fencing_token").asLong();
        if (isCut(token)) {
            return new Answer(0, "");
        }
        if (!id.equals(call.instance())) {
            return new Answer(421, "{}");
        }
        return switch (call.path()) {
            case "/-/hold" -> {
                Answer answer = hold(body);
                yield isCut(token) ? new Answer(0, "") : answer;
            }
            case "/-/run-start" -> start(body);
            case "/-/run-stop" -> stop(body);
            case "/-/pace" -> pace(body);
            default -> new Answer(404, "{}");
        };
    }

    private boolean isCut(long token) {
        return token < cutBelow || token > cutAbove;
    }

    private boolean isOld(JsonNode body) {
        long token = body.path("fencing_token").asLong();
        if (token < highestToken) {
            return true;
        }
        highestToken = token;
        return false;
    }

    private void extendLease(JsonNode body) {
        if (body.has("expires_ms")) {
            long end = Math.min(body.path("expires_ms").asLong(), clock() + HOLD_MAX_MILLIS);
            leaseEnd = Math.max(leaseEnd, end);
        }
    }

    private ObjectNode clockBody() {
        return JSON.createObjectNode().put("clock_ms", clock()).put("born", born);
    }

    private Answer reject(String reason) {
        return new Answer(409, clockBody().put("reason", reason).toString());
    }

    private synchronized Answer start(JsonNode body) {
        endRuns();
        if (isOld(body)) {
            return reject("fence");
        }
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        if (body.path("expires_ms").asLong() <= clock()) {
            return reject("late");
        }
        extendLease(body);
        String key = task + "#" + attempt;
        if (active.containsKey(key)) {
            return new Answer(200, clockBody().toString());
        }
        if (attempt <= highestEnded.getOrDefault(task, 0)) {
            return reject("old");
        }
        String spec = body.path("spec").asText();
        int cpu = number(spec, "cpu=(\\d+)");
        if (used + cpu > CAPACITY) {
            return reject("room");
        }
        used += cpu;
        long millis = spec.contains("lasts") ? Long.MAX_VALUE : number(spec, "ms=(\\d+)");
        active.put(key, new Active(task, attempt, cpu, clock(), millis));
        listener.started(this, task, attempt, body.path("fencing_token").asLong());
        return new Answer(200, clockBody().toString());
    }

    private static int number(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    private synchronized Answer stop(JsonNode body) {
        endRuns();
        if (isOld(body)) {
            return reject("fence");
        }
        String task = body.path("task").asText();
        int attempt = body.path("attempt").asInt();
        Active run = active.get(task + "#" + attempt);
        if (run != null) {
            end(run, "stopped");
        }
        highestEnded.merge(task, attempt, Math::max);
        return new Answer(200, clockBody().toString());
    }

    private synchronized Answer pace(JsonNode body) {
        return isOld(body) ? reject("fence") : new Answer(200, clockBody().toString());
    }

    private synchronized Answer hold(JsonNode body) throws InterruptedException {
        endRuns();
        if (isOld(body)) {
            return reject("fence");
        }
        extendLease(body);
        long cursor = body.path("ack_cursor").asLong();
        ends.removeIf(
                end -> {
                    if (end.number() > cursor) {
                        return false;
                    }
                    if (end.lapses() == lapses) {
                        listener.noted(this, end.task(), end.attempt(), end.how());
                    }
                    return true;
                });
        long deadline = clock() + body.path("wait_ms").asLong();
        while (ends.isEmpty() && clock() < deadline && !dead) {
            wait(Math.max(1, Math.min(20, deadline - clock())));
            if (isCut(body.path("fencing_token").asLong())) {
                break;
            }
        }
        ObjectNode answer = clockBody();
        ArrayNode running = answer.putArray("running");
        for (Active run : active.values()) {
            running.addArray()
                    .add(run.task())
                    .add(run.attempt())
                    .add("")
                    .add(percent(run))
                    .add(run.cpu());
        }
        ArrayNode finished = answer.putArray("finished");
        for (End end : ends.subList(0, Math.min(LISTED_ENDS, ends.size()))) {
            finished.addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.attempt())
                    .add(end.how())
                    .add("");
        }
        return new Answer(200, answer.toString());
    }

    private long percent(Active run) {
        long whole = run.millis() == Long.MAX_VALUE ? STARTUP_MILLIS : Math.max(1, run.millis());
        long cap = run.millis() == Long.MAX_VALUE ? 100 : 99;
        return Math.min(cap, 100 * (clock() - run.startedAt()) / whole);
    }

    private void endRuns() {
        boolean lapsed = clock() > leaseEnd;
        if (lapsed && leaseEnd != lapsedLeaseEnd) {
            lapsedLeaseEnd = leaseEnd;
            lapses++;
        }
        for (Active run : new ArrayList<>(active.values())) {
            if (lapsed) {
                end(run, "lapsed");
            } else if (clock() - run.startedAt() >= run.millis()) {
                end(run, "done");
            }
        }
    }

    private void end(Active run, String how) {
        active.remove(run.task() + "#" + run.attempt());
        used -= run.cpu();
        highestEnded.merge(run.task(), run.attempt(), Math::max);
        ends.add(new End(++lastEnd, run.task(), run.attempt(), how, lapses));
        if (!dead) {
            listener.ended(this, run.task(), run.attempt(), how);
        }
        notifyAll();
    }
}
