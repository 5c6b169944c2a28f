import java.util.ArrayList;
import java.util.List;

/** A process is killed while a submission with many steps is at work. */
final class OwnerChange extends Trial {
    private static final String ID = "00000000000000a1";
    private static final int STEPS = 44;
    private static final int STEPS_BEFORE_KILL = 38;

    OwnerChange(Record record, boolean trouble) throws java.io.IOException {
        super(record, trouble);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 4; i++) {
            addRunner("i-" + i, "xela", runnerAddress(i));
        }
        addHosts("xela", "xela", "xela");
        List<String> steps = new ArrayList<>();
        List<String> earlier = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            String after = earlier.isEmpty() ? "" : ",\"after\":[" + String.join(",", earlier) + "]";
            steps.add(
                    "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":250" + after + "}");
            earlier.add(Integer.toString(i));
        }
        submit(ID, job("cpu=1000 ms=250", steps.toArray(new String[0])));
        await("step " + STEPS_BEFORE_KILL + " runs", 60, () -> hasStarted(STEPS_BEFORE_KILL));
        double faultAt = record.seconds();
        if (trouble) {
            Host leader = leader();
            record.line("SIGKILL of host " + leader.number + ", which last wrote under a condition");
            leader.kill();
            sleep(0.5);
            leader.start();
            record.line("host " + leader.number + " started again");
        }
        // recovery_s is 12 and finish_s is 14: the submission is asked for from then on.
        while (record.seconds() < faultAt + 14) {
            sleep(1);
            if (hasEnded()) {
                break;
            }
        }
        double lastRunAt;
        synchronized (runs) {
            lastRunAt = runs.get(runs.size() - 1).from;
        }
        record.line(
                "asked for "
                        + Math.round(record.seconds() - faultAt)
                        + " s after the fault; last start at "
                        + lastRunAt);
        int unanswered = 0;
        boolean completed = false;
        for (int round = 0; round < 3 && !completed; round++) {
            for (Host host : hosts) {
                Reply reply = call(host, "GET", "/q/" + ID, "");
                unanswered += reply.status() == 0 ? 1 : 0;
                completed |= reply.body().contains("completed");
            }
            sleep(1);
        }
        boolean idle = true;
        for (Runner runner : runners.values()) {
            idle &= runner.activeRuns() == 0;
        }
        record.line(
                "completed="
                        + completed
                        + " calls without an answer="
                        + unanswered
                        + " nothing running="
                        + idle);
        boolean stalled = idle && record.seconds() - lastRunAt > 3;
        return !completed && stalled;
    }

    private boolean hasStarted(int step) {
        synchronized (runs) {
            return runs.stream().anyMatch(run -> run.task.startsWith(ID + ".0." + step + "."));
        }
    }

    private boolean hasEnded() {
        synchronized (runs) {
            return runs.stream()
                    .anyMatch(
                            run ->
                                    run.task.startsWith(ID + ".0." + (STEPS - 1) + ".")
                                            && run.how.equals("done"));
        }
    }
}
