package org.peridotcourse.daemon.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.peridotcourse.Result;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.http.HttpCall;
import org.peridotcourse.daemon.http.HttpReply;
import org.peridotcourse.daemon.log.EventLog;

/**
 * Object store client over HTTP with one keep-alive connection. It is thread-safe; calls of several
 * threads are sent one after the other.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {
    private static final byte[] EMPTY = new byte[0];

    private final PlatformConnection connection;

    /**
     * Creates a client; the connection is opened by the first call.
     *
     * @param factory opens the connection
     * @param address the platform
     * @param timeoutMillis the time-out of a call, including opening the connection
     * @param log receives {@link PlatformEvent} records
     */
    public HttpObjectStore(
            ChannelFactory factory, InetSocketAddress address, long timeoutMillis, EventLog log) {
        this.connection = new PlatformConnection(factory, address, timeoutMillis, log);
    }

    @Override
    public Result<Optional<byte[]>> read(String name) {
        return call("GET", name, EMPTY)
                .map(reply -> isFound(reply) ? Optional.of(reply.body()) : Optional.empty());
    }

    @Override
    public Result<Integer> write(String name, byte[] content) {
        return call("PUT", name, content).map(reply -> content.length);
    }

    @Override
    public Result<Boolean> remove(String name) {
        return call("DELETE", name, EMPTY).map(HttpObjectStore::isFound);
    }

    @Override
    public void close() {
        connection.close();
    }

    private static boolean isFound(HttpReply reply) {
        return reply.status() != 404;
    }

    private Result<HttpReply> call(String method, String name, byte[] body) {
        HttpCall call = new HttpCall(method, "/v1/objects/" + name, Map.of(), body);
        Result<HttpReply> reply = connection.callRepeatable(call);
        if (!(reply instanceof Result.Ok<HttpReply> ok) || ok.value().status() >= 500) {
            return Result.failed(StoreFailure.UNAVAILABLE);
        }
        int status = ok.value().status();
        boolean absent = status == 404 && !method.equals("PUT");
        if (status >= 300 && !absent) {
            connection
                    .log()
                    .event(PlatformEvent.MALFORMED_RESPONSE)
                    .with("address", connection.address())
                    .with("call", method + " " + call.target())
                    .with("status", status)
                    .with("detail", ok.value().body().length + " bytes")
                    .write();
            return Result.failed(StoreFailure.PROTOCOL);
        }
        return reply;
    }
}
