/** The store is down for a few seconds while short tasks end. */
final class ManyEnds extends Trial {
    private static final String ID = "00000000000000c1";
    private static final int TASKS = 6_000;
    private static final double OUTAGE = 4.5;

    ManyEnds(Record record, boolean trouble) throws java.io.IOException {
        super(record, trouble);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 2; i++) {
            addRunner("i-" + i, "xela", runnerAddress(i));
        }
        addHosts("xela", "xela");
        submit(
                ID,
                job(
                        "cpu=100 ms=250",
                        "{\"count\":"
                                + TASKS
                                + ",\"cpu\":100,\"mem_mb\":16,\"estimate_ms\":250}"));
        await("tasks run", 20, () -> starts() > 300);
        double from = record.seconds();
        int before = starts();
        if (trouble) {
            record.line("the store is down");
            store.down = true;
        }
        sleep(OUTAGE);
        if (trouble) {
            store.down = false;
            record.line("the store is back");
        }
        record.line(
                "starts in this time: "
                        + (starts() - before)
                        + " in "
                        + (record.seconds() - from)
                        + " s");
        double end = record.seconds() + 60;
        String state = "";
        while (record.seconds() < end && !state.contains("completed")) {
            sleep(1);
            state = callAny("GET", "/q/" + ID, "", 4).body();
        }
        sleep(2);
        record.line("state=" + state + " starts=" + starts() + " tasks=" + TASKS);
        return brokenTwice() > 0;
    }

    private int starts() {
        synchronized (runs) {
            return runs.size();
        }
    }
}
