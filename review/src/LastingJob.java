import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Runners crash, one of seven at a time, while a submission lasts. */
final class LastingJob extends Trial {
    private static final String ID = "00000000000000b1";
    private static final int RUNNERS = 7;
    private static final int MOST_CRASHES = 6;
    private static final double AFTER_START = 0.7;
    private static final double DOWN = 0.6;
    private static final double ENTRY_EXPIRY = 4.5;

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private int nextId;

    LastingJob(Record record, boolean trouble) throws java.io.IOException {
        super(record, trouble);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            addLife(runnerAddress(i));
        }
        addHosts("xela", "xela");
        submit(
                ID,
                job(
                        "cpu=1000 lasts",
                        "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":400,"
                                + "\"long_running\":true}"));
        for (int i = 0; i < MOST_CRASHES; i++) {
            if (!awaitStart(i + 1)) {
                break;
            }
            sleep(AFTER_START);
            if (trouble) {
                Run newest = newest();
                InetSocketAddress address = addresses.get(newest.runner.id);
                crash(newest.runner);
                expireEntry(newest.runner.id);
                sleep(DOWN);
                addLife(address);
            }
        }
        // Nothing disturbs from here on.
        String state = "";
        for (int i = 0; i < 5; i++) {
            sleep(1);
            state = callAny("GET", "/q/" + ID, "", 4).body();
        }
        long failedEnds;
        synchronized (runs) {
            failedEnds = runs.stream().filter(run -> run.how.equals("failed")).count();
        }
        record.line("state=" + state + " starts=" + starts() + " ends 'failed'=" + failedEnds);
        return state.contains("failed") && failedEnds == 0;
    }

    /** A runner that comes back after a crash is another life with an id of its own. */
    private void addLife(InetSocketAddress address) throws java.io.IOException {
        String id = "i-" + nextId++;
        addresses.put(id, address);
        addRunner(id, "xela", address);
    }

    /** Waits for the next start of the task; without a disruption there is only one. */
    private boolean awaitStart(int number) {
        double end = record.seconds() + 8;
        while (starts() < number && record.seconds() < end) {
            sleep(0.02);
        }
        return starts() >= number;
    }

    /** The store drops the entry of a silent runner after three ping intervals. */
    private void expireEntry(String id) {
        Thread expiry =
                new Thread(
                        () -> {
                            sleep(ENTRY_EXPIRY);
                            store.delete("servers", id);
                        });
        expiry.setDaemon(true);
        expiry.start();
    }

    private int starts() {
        synchronized (runs) {
            return runs.size();
        }
    }

    private Run newest() {
        synchronized (runs) {
            return runs.get(runs.size() - 1);
        }
    }
}
