import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One large submission is accepted; small ones follow. With TROUBLE=0 the same tasks come as
 * several submissions.
 */
final class OutgrownRecord extends Trial2 {
    private static final int STEPS = 5;
    private static final int TASKS_PER_STEP = 9_000;
    private static final int TASK_CPU = 100;
    private static final int WORK_MILLIS = 20;
    private static final double MAX_TRAFFIC_S = 75;
    private static final double FINISH_S = 14;
    private static final double NOTHING_RUNS_S = 3;
    private static final String LARGE = "00000000000a";

    private final AtomicInteger largeStarts = new AtomicInteger();
    private final AtomicInteger largeDone = new AtomicInteger();

    /** By submission, the number of its tasks, and the number of those that have ended as done. */
    private final Map<String, Integer> tasks = new TreeMap<>();

    private final Map<String, Integer> doneTasks = new ConcurrentHashMap<>();

    private OutgrownRecord(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String... arguments) {
        execute(OutgrownRecord::new, arguments[0]);
    }

    @Override
    void onRunner(String runner, String event) {
        if (event.startsWith("done ")) {
            doneTasks.merge(event.substring(5, event.indexOf('.')), 1, Integer::sum);
        }
        if (!event.contains(" " + LARGE)) {
            super.onRunner(runner, event);
        } else if (event.startsWith("start")) {
            largeStarts.incrementAndGet();
        } else if (event.startsWith("done")) {
            largeDone.incrementAndGet();
        } else {
            super.onRunner(runner, event);
        }
    }

    private int running() {
        return runners.stream().mapToInt(runner -> runner.runningTasks().size()).sum();
    }

    private boolean submitLarge() throws InterruptedException {
        int[] step = {TASKS_PER_STEP, TASK_CPU, WORK_MILLIS};
        String spec = WORK_MILLIS + "/" + TASK_CPU;
        if (trouble) {
            int[][] steps = new int[STEPS][];
            java.util.Arrays.fill(steps, step);
            tasks.put(LARGE + "0000", STEPS * TASKS_PER_STEP);
            String answer = submit(hosts.get(0), LARGE + "0000", submission(spec, false, steps));
            return answer.startsWith("200");
        }
        boolean accepted = true;
        for (int i = 0; i < STEPS; i++) {
            String body = submission(spec, false, step);
            tasks.put(LARGE + "000" + i, TASKS_PER_STEP);
            accepted &= submit(hosts.get(0), LARGE + "000" + i, body).startsWith("200");
        }
        return accepted;
    }

    private void logProgress() {
        int listed = runners.stream().mapToInt(Runner2::unacknowledgedEnds).sum();
        log(
                String.format(
                        "tasks of the large submission: %d started, %d done; running now: %d;"
                                + " ends not taken note of: %d; calls rejected by the store: %d %s",
                        largeStarts.get(),
                        largeDone.get(),
                        running(),
                        listed,
                        store.rejectedCalls,
                        store.lastRejection));
    }

    @Override
    int run() throws Exception {
        startDeployment(3, 16, 16_000);
        if (!submitLarge()) {
            throw new IOException("the large submission was not accepted");
        }
        List<String> small = new ArrayList<>();
        double trafficStart = seconds();
        double lastProgress = seconds();
        int lastDone = 0;
        while (seconds() - trafficStart < MAX_TRAFFIC_S && seconds() - lastProgress < 6) {
            Thread.sleep(2_000);
            String id = String.format("00000000000b%04x", small.size());
            Host2 host = hosts.get(small.size() % hosts.size());
            int[] step = {4, TASK_CPU, 50};
            if (submit(host, id, submission("50/" + TASK_CPU, false, step)).startsWith("200")) {
                small.add(id);
                tasks.put(id, step[0]);
            }
            if (largeDone.get() > lastDone) {
                lastDone = largeDone.get();
                lastProgress = seconds();
            }
            logProgress();
        }
        log("end of the traffic");
        Thread.sleep((long) (1_000 * FINISH_S));
        return judge();
    }

    /** Asks for the submissions, and looks whether anything runs, for longer than three seconds. */
    private int judge() throws InterruptedException {
        double from = seconds();
        boolean nothingRan = true;
        while (seconds() - from < NOTHING_RUNS_S + 1) {
            nothingRan &= running() == 0;
            Thread.sleep(10);
        }
        logProgress();
        int waiting = 0;
        int asked = 0;
        for (Map.Entry<String, Integer> submission : tasks.entrySet()) {
            String id = submission.getKey();
            String state = state(hosts.get(asked++ % hosts.size()), id);
            int open = submission.getValue() - doneTasks.getOrDefault(id, 0);
            waiting += open > 0 && !state.equals("completed") ? 1 : 0;
            log("GET " + id + ": " + state + "; its tasks that have not ended as done: " + open);
        }
        for (Host2 host : hosts) {
            log(host.name + (host.isAlive() ? " is alive" : " has ended"));
        }
        log(
                String.format(
                        "%d of %d submissions have tasks whose turn has come, %.0f s after the"
                                + " traffic; in the last %.0f s %s on all runners",
                        waiting,
                        tasks.size(),
                        FINISH_S,
                        NOTHING_RUNS_S + 1,
                        nothingRan ? "nothing ran" : "tasks ran"));
        return waiting > 0 && nothingRan ? BROKEN : HELD;
    }
}
