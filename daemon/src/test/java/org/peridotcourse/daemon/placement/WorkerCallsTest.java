package org.peridotcourse.daemon.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.peridotcourse.TaskId;
import org.peridotcourse.WorkerId;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.placement.WorkerCalls.Answered;
import org.peridotcourse.placement.PlacementAction;
import org.peridotcourse.placement.PlacementEvent;
import org.peridotcourse.placement.WorkerCommand;

/** Checks single calls to a worker around time-outs, moves and the end of the lease. */
class WorkerCallsTest {
    private static final WorkerId W = WorkerId.of("w1");

    private final BlockingQueue<Answered> answers = new LinkedBlockingQueue<>();
    private final ChannelFactory channels = new ChannelFactory(1 << 20);
    private final FakeWorker worker = new FakeWorker("w1");
    private final ServerSocket mute = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private volatile long now = 1_000;
    private volatile long leaseUntil = 10_000;
    private final WorkerCalls calls =
            new WorkerCalls(
                    channels,
                    "a",
                    send -> leaseUntil,
                    () -> now,
                    answers::add,
                    PlacementFixture.LOG);

    WorkerCallsTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        calls.close();
        worker.close();
        mute.close();
        channels.close();
    }

    private void at(int port) {
        calls.addresses(Map.of(W, new InetSocketAddress("127.0.0.1", port)));
    }

    private void atWorker() {
        String address = worker.host().address();
        at(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }

    private static PlacementAction.SendCommands stop(long number) {
        WorkerCommand stop = new WorkerCommand.Stop(TaskId.of("c/j/0"), 1, false);
        return new PlacementAction.SendCommands(W, number, 1, 0, List.of(stop));
    }

    private PlacementEvent next() throws InterruptedException {
        while (true) {
            Answered answered = answers.poll(10, TimeUnit.SECONDS);
            var event = calls.finish(now, answered);
            if (event.isPresent()) {
                return event.get();
            }
        }
    }

    /** Guards against a command that leaves a process which was paused past its lease. */
    @Test
    void sendsNoCommandAfterTheLease() throws InterruptedException {
        atWorker();
        now = leaseUntil;
        calls.send(now, stop(1));
        assertInstanceOf(PlacementEvent.CommandsFailed.class, next());
        assertEquals(0, worker.epoch(), "the command arrived");
        leaseUntil = now + 1;
        calls.send(now, stop(2));
        assertInstanceOf(PlacementEvent.CommandsAnswered.class, next());
        assertEquals(1, worker.epoch());
    }

    /** Guards against a worker that gets no calls any more after one time-out. */
    @Test
    void goesOnAfterTimeOutWhoseResultTheRingWouldDrop() throws InterruptedException {
        at(mute.getLocalPort());
        calls.fetch(now, new PlacementAction.FetchReport(W, 1));
        now += 2_000;
        List<PlacementEvent> expired = calls.expire(now);
        assertEquals(List.of(new PlacementEvent.ReportFailed(W, 1)), expired);
        atWorker();
        calls.fetch(now, new PlacementAction.FetchReport(W, 2));
        assertInstanceOf(PlacementEvent.ReportReceived.class, next());
    }

    /** Guards against calls that keep going to the address that a worker had before. */
    @Test
    void callsNewAddressAfterMoveDuringConnect() throws InterruptedException {
        at(mute.getLocalPort());
        calls.fetch(now, new PlacementAction.FetchReport(W, 1));
        atWorker();
        assertEquals(new PlacementEvent.ReportFailed(W, 1), next());
        calls.fetch(now, new PlacementAction.FetchReport(W, 2));
        assertInstanceOf(PlacementEvent.ReportReceived.class, next());
    }
}
