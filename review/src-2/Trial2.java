import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What the trials share: a small deployment on loopback, its record, and the exit codes. */
abstract class Trial2 {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final String CONFIG =
            "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"127.0.0.1\","
                    + "\"prefix\":\"/queue/\",\"service\":\"svc\",\"priority\":0,"
                    + "\"max_attempts\":3,\"slack_factor\":2,\"target_latency_ms\":1000}],"
                    + "\"services\":[{\"name\":\"svc\",\"rejects_overload\":true}],"
                    + "\"limits\":{}}";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Client2 client = new Client2();
    final List<Host2> hosts = new ArrayList<>();
    final List<Runner2> runners = new ArrayList<>();
    Store2 store;
    private final long startedAt = System.nanoTime();
    private final PrintWriter record;
    private Path folder;

    Trial2(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
    }

    /** Runs the trial and returns {@link #HELD} or {@link #BROKEN}. */
    abstract int run() throws Exception;

    /** Called with what a runner does: its id, and what happened. */
    void onRunner(String runner, String event) {
        log("runner " + runner + ": " + event);
    }

    final void log(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f s  %s", seconds(), line));
        }
    }

    final double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    final void startDeployment(int hostCount, int runnerCount, int cpu) throws Exception {
        folder = Files.createTempDirectory("review-2");
        store = new Store2();
        store.put("op", "config", CONFIG);
        for (int i = 0; i < runnerCount; i++) {
            Runner2 runner = new Runner2(store, "zone-1", "r1-" + i / 8, cpu, this::onRunner);
            runner.boot(String.format("runner-%02d", i));
            runners.add(runner);
        }
        List<Integer> seeds = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            Host2 host = new Host2(folder, "host-" + (i + 1), "zone-1", store, seeds);
            if (seeds.size() < 3) {
                seeds.add(host.controlPlane);
            }
            host.start();
            hosts.add(host);
        }
        log("started " + hostCount + " hosts and " + runnerCount + " runners of " + cpu + " cpu");
        double end = seconds() + 20;
        while (seconds() < end && !isServing()) {
            Thread.sleep(200);
        }
        if (!isServing()) {
            throw new IOException("the hosts do not serve");
        }
    }

    private boolean isServing() throws InterruptedException {
        for (Host2 host : hosts) {
            if (!client.call(host.frontend, "GET", "", "").startsWith("200 ")) {
                return false;
            }
        }
        return true;
    }

    /** Returns the body of a submission; a step is given as {count, cpu, estimate}. */
    static String submission(String spec, boolean lasts, int[]... steps) {
        ObjectNode body = Store2.JSON.createObjectNode();
        body.put("spec", spec);
        ArrayNode list = body.putArray("steps");
        for (int[] step : steps) {
            ObjectNode node = list.addObject();
            node.put("count", step[0]).put("cpu", step[1]).put("mem_mb", 10);
            node.put("estimate_ms", step[2]);
            if (lasts) {
                node.put("long_running", true);
            }
        }
        return body.toString();
    }

    final String submit(Host2 host, String id, String body) throws InterruptedException {
        String answer = client.call(host.frontend, "POST", id, body);
        String shown = body.length() > 200 ? body.substring(0, 200) + "..." : body;
        log("POST " + id + " to " + host.name + ": " + answer + "  " + shown);
        return answer;
    }

    final String state(Host2 host, String id) throws InterruptedException {
        String answer = client.call(host.frontend, "GET", id, "");
        int begin = answer.indexOf("\"state\":\"");
        return begin < 0 ? answer : answer.substring(begin + 9, answer.indexOf('"', begin + 9));
    }

    /** Creates a trial that writes to a file. */
    interface Factory {
        Trial2 create(String recordFile) throws IOException;
    }

    /** Runs a trial, ends all that it started, and exits. */
    static void execute(Factory factory, String recordFile) {
        Trial2 trial;
        try {
            trial = factory.create(recordFile);
        } catch (IOException failed) {
            System.err.println("could not run: " + failed);
            System.exit(COULD_NOT_RUN);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(trial::stop));
        int result;
        try {
            trial.log("TROUBLE=" + (trial.trouble ? 1 : 0));
            result = trial.run();
        } catch (Exception failed) {
            trial.log("could not run: " + failed);
            result = COULD_NOT_RUN;
        }
        trial.log(result == BROKEN ? "BROKEN" : result == HELD ? "HELD" : "COULD NOT RUN");
        trial.stop();
        System.exit(result);
    }

    private synchronized void stop() {
        for (Host2 host : hosts) {
            try {
                host.kill();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        runners.forEach(Runner2::stopForGood);
        if (store != null) {
            store.stop();
        }
        if (folder != null && Files.exists(folder) && System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException ignored) {
                // The folder is temporary.
            }
        }
    }
}
