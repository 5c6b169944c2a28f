import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Several large submissions are accepted at once. Hosts that end are started again, as the platform
 * does. With TROUBLE=0 the submissions are a twentieth as large.
 */
final class FullMemory extends Trial2 {
    private static final int SUBMISSIONS = 8;
    private static final int STEPS = 10;
    private static final int TASKS_PER_STEP = 10_000;
    private static final int SMALLER_BY = 20;
    private static final int TASK_CPU = 100;
    private static final int WORK_MILLIS = 20;
    private static final int ENDS_FOR_FAULT = 3;
    private static final double OBSERVED_S = 60;
    private static final double FINISH_S = 14;
    private static final double NOTHING_RUNS_S = 3;
    private static final long LOOK_MILLIS = 20;

    private final AtomicInteger starts = new AtomicInteger();

    private FullMemory(String recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String... arguments) {
        execute(FullMemory::new, arguments[0]);
    }

    @Override
    void onRunner(String runner, String event) {
        if (event.startsWith("start")) {
            starts.incrementAndGet();
        } else if (!event.startsWith("done") && !event.startsWith("lapsed")) {
            super.onRunner(runner, event);
        }
    }

    @Override
    int run() throws Exception {
        startDeployment(3, 16, 16_000);
        int[][] steps = new int[STEPS][];
        int count = trouble ? TASKS_PER_STEP : TASKS_PER_STEP / SMALLER_BY;
        Arrays.fill(steps, new int[] {count, TASK_CPU, WORK_MILLIS});
        String body = submission(WORK_MILLIS + "/" + TASK_CPU, false, steps);
        int accepted = 0;
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format("00000000000d%04x", i);
            boolean ok = submit(hosts.get(i % hosts.size()), id, body).startsWith("200");
            accepted += ok ? 1 : 0;
        }
        log(accepted + " of " + SUBMISSIONS + " submissions were accepted");
        log("end of the traffic");
        int[] ends = new int[hosts.size()];
        double trafficEnd = seconds();
        double lastRun = trafficEnd;
        double longestPause = 0;
        while (seconds() < trafficEnd + OBSERVED_S) {
            Thread.sleep(LOOK_MILLIS);
            boolean running = runners.stream().anyMatch(r -> !r.runningTasks().isEmpty());
            if (running || seconds() < trafficEnd + FINISH_S) {
                lastRun = seconds();
            }
            longestPause = Math.max(longestPause, seconds() - lastRun);
            for (int i = 0; i < hosts.size(); i++) {
                Host2 host = hosts.get(i);
                if (!host.isAlive()) {
                    ends[i]++;
                    log(host.name + " has ended by itself with code " + host.exitCode());
                    host.start();
                    log(host.name + " is started again");
                }
            }
        }
        log("starts on runners: " + starts.get());
        int completed = 0;
        for (int i = 0; i < SUBMISSIONS; i++) {
            String id = String.format("00000000000d%04x", i);
            String state = state(hosts.get(i % hosts.size()), id);
            log("GET " + id + ": " + state);
            completed += state.equals("completed") ? 1 : 0;
        }
        int faulty = 0;
        for (int hostEnds : ends) {
            faulty += hostEnds >= ENDS_FOR_FAULT ? 1 : 0;
        }
        log("ends of processes by themselves: " + Arrays.toString(ends));
        log(
                String.format(
                        "from %.0f s after the traffic on, nothing ran on any runner for %.1f s on"
                                + " end; no submission is completed: %s",
                        FINISH_S,
                        longestPause,
                        completed == 0));
        return faulty >= 2 && completed == 0 && longestPause > NOTHING_RUNS_S ? BROKEN : HELD;
    }
}
