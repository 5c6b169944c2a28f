/** The zone in which orders are given is partitioned from the other zones and the store. */
final class ZoneCut extends Trial {
    private static final String ID = "00000000000000e1";
    private static final String[] ZONES = {"xela", "zacapa", "huehue"};
    private static final double CUT = 5.5;

    /** Time after the start, so that the host that gives orders is well past its takeover. */
    private static final double SETTLED = 15;

    /** Three ping intervals, after which the store drops the entry of a silent runner. */
    private static final double ENTRY_EXPIRY = 4.5;

    ZoneCut(Record record, boolean trouble) throws java.io.IOException {
        super(record, trouble);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 6; i++) {
            addRunner("i-" + i, ZONES[i % 3], runnerAddress(i));
        }
        addHosts(ZONES);
        submit(
                ID,
                job(
                        "cpu=4000 lasts",
                        "{\"count\":6,\"cpu\":4000,\"mem_mb\":64,\"estimate_ms\":400,"
                                + "\"long_running\":true}"));
        await("all tasks run", 20, () -> started() >= 6);
        sleep(SETTLED);
        Host leader = leader();
        long token = 0;
        for (Runner runner : runners.values()) {
            token = Math.max(token, runner.highestToken());
        }
        if (trouble) {
            record.line("zone " + leader.zone + " of host " + leader.number + " is cut off");
            setCut(leader, token, true);
        }
        sleep(ENTRY_EXPIRY);
        for (Runner runner : runners.values()) {
            if (runner.storeCut) {
                store.delete("servers", runner.id);
            }
        }
        sleep(CUT - ENTRY_EXPIRY);
        if (trouble) {
            setCut(leader, token, false);
            record.line("the cut is over");
        }
        sleep(6);
        return brokenTwice() > 0;
    }

    private int started() {
        synchronized (runs) {
            return runs.size();
        }
    }

    private void setCut(Host leader, long token, boolean cut) {
        for (Runner runner : runners.values()) {
            boolean inside = runner.zone.equals(leader.zone);
            runner.storeCut = cut && inside;
            // The host inside gives its orders with this token, hosts outside with later ones.
            runner.cutAbove = cut && inside ? token : Long.MAX_VALUE;
            runner.cutBelow = cut && !inside ? token + 1 : Long.MIN_VALUE;
        }
        endpoints.get(leader.number).cut = cut;
        for (Proxy proxy : proxiesOf(leader)) {
            proxy.cut = cut;
        }
    }
}
