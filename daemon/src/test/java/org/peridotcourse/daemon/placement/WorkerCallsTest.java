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

/** Checks single calls to a worker on time-outs, changes of address and the end of the lease. */
class WorkerCallsTest {
    private static final WorkerId WORKER = WorkerId.of("w1");

    private final BlockingQueue<Answered> results = new LinkedBlockingQueue<>();
    private final ChannelFactory channels = new ChannelFactory(1 << 20);
    private final FakeWorker worker = new FakeWorker("w1");
    private final ServerSocket unresponsiveSocket =
            new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private volatile long nowMillis = 1_000;
    private volatile long leaseEndMillis = 10_000;
    private final WorkerCalls calls =
            new WorkerCalls(
                    channels,
                    "a",
                    send -> leaseEndMillis,
                    () -> nowMillis,
                    results::add,
                    PlacementFixture.LOG);

    WorkerCallsTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        calls.close();
        worker.close();
        unresponsiveSocket.close();
        channels.close();
    }

    private void setWorkerPort(int port) {
        calls.updateAddresses(Map.of(WORKER, new InetSocketAddress("127.0.0.1", port)));
    }

    private void useFakeWorker() {
        String address = worker.host().address();
        setWorkerPort(Integer.parseInt(address.substring(address.indexOf(':') + 1)));
    }

    private static PlacementAction.SendCommands stopCommand(long number) {
        WorkerCommand stop = new WorkerCommand.Stop(TaskId.of("c/j/0"), 1, false);
        return new PlacementAction.SendCommands(WORKER, number, 1, 0, List.of(stop));
    }

    private PlacementEvent awaitEvent() throws InterruptedException {
        while (true) {
            Answered answered = results.poll(10, TimeUnit.SECONDS);
            var event = calls.complete(nowMillis, answered);
            if (event.isPresent()) {
                return event.get();
            }
        }
    }

    /** Guards against a command that is sent after the process was paused past its lease. */
    @Test
    void sendsNoCommandAfterTheLease() throws InterruptedException {
        useFakeWorker();
        nowMillis = leaseEndMillis;
        calls.send(nowMillis, stopCommand(1));
        assertInstanceOf(PlacementEvent.CommandsFailed.class, awaitEvent());
        assertEquals(0, worker.epoch(), "the worker received a command after the lease end");
        leaseEndMillis = nowMillis + 1;
        calls.send(nowMillis, stopCommand(2));
        assertInstanceOf(PlacementEvent.CommandsAnswered.class, awaitEvent());
        assertEquals(1, worker.epoch());
    }

    /** Guards against a worker that receives no calls after a time-out. */
    @Test
    void acceptsCallsAfterTimeOutWithoutCallback() throws InterruptedException {
        setWorkerPort(unresponsiveSocket.getLocalPort());
        calls.fetch(nowMillis, new PlacementAction.FetchReport(WORKER, 1));
        nowMillis += 2_000;
        List<PlacementEvent> expired = calls.expireCalls(nowMillis);
        assertEquals(List.of(new PlacementEvent.ReportFailed(WORKER, 1)), expired);
        useFakeWorker();
        calls.fetch(nowMillis, new PlacementAction.FetchReport(WORKER, 2));
        assertInstanceOf(PlacementEvent.ReportReceived.class, awaitEvent());
    }

    /** Guards against calls to the old address of a worker after its address has changed. */
    @Test
    void callsNewAddressAfterMoveDuringConnect() throws InterruptedException {
        setWorkerPort(unresponsiveSocket.getLocalPort());
        calls.fetch(nowMillis, new PlacementAction.FetchReport(WORKER, 1));
        useFakeWorker();
        assertEquals(new PlacementEvent.ReportFailed(WORKER, 1), awaitEvent());
        calls.fetch(nowMillis, new PlacementAction.FetchReport(WORKER, 2));
        assertInstanceOf(PlacementEvent.ReportReceived.class, awaitEvent());
    }
}
