/** A runner loses power for a moment and starts again under its id while tasks are at work. */
final class Reborn extends Trial {
    private static final int JOBS = 70;
    private static final long DOWN_MILLIS = 500;

    Reborn(Record record, boolean trouble) throws java.io.IOException {
        super(record, trouble);
    }

    @Override
    boolean play() throws Exception {
        for (int i = 0; i < 4; i++) {
            addRunner("i-" + i, "xela", runnerAddress(i));
        }
        addHosts("xela", "xela");
        Thread requester =
                new Thread(
                        () -> {
                            for (int i = 0; i < JOBS; i++) {
                                submit(
                                        String.format("%016x", 0xd000 + i),
                                        job(
                                                "cpu=500 ms=200",
                                                "{\"count\":24,\"cpu\":500,\"mem_mb\":32,"
                                                        + "\"estimate_ms\":200}"));
                                sleep(0.1);
                            }
                        });
        requester.start();
        sleep(3);
        if (trouble) {
            Runner runner = runners.get("i-1");
            record.line("runner i-1 loses power for " + DOWN_MILLIS + " ms, and starts again");
            lost(runner);
            runner.reboot(DOWN_MILLIS);
            record.line("runner i-1 is back under its id");
        }
        requester.join();
        sleep(8);
        return brokenTwice() > 0;
    }
}
