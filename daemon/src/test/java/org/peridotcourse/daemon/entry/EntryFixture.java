package org.peridotcourse.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assertions;
import org.peridotcourse.BackendId;
import org.peridotcourse.CustomerId;
import org.peridotcourse.DataCentreId;
import org.peridotcourse.ServiceId;
import org.peridotcourse.daemon.http.ChannelFactory;
import org.peridotcourse.daemon.log.DecisionRing;
import org.peridotcourse.daemon.log.EventLog;
import org.peridotcourse.daemon.metrics.DaemonMetrics;
import org.peridotcourse.daemon.settings.Settings;
import org.peridotcourse.daemon.settings.SettingsReader;
import org.peridotcourse.routing.BackendInfo;
import org.peridotcourse.routing.BackendState;
import org.peridotcourse.routing.CustomerInfo;
import org.peridotcourse.routing.EntryHosts;
import org.peridotcourse.routing.RoutingSettings;

/** An entry service on loopback with fake dependencies, and a client for it. */
final class EntryFixture implements AutoCloseable {
    static final String CUSTOMER = "shop";
    static final String PATH = "/r/shop/despacho/";

    final DaemonMetrics metrics = new DaemonMetrics(EntryFixture::now);
    final List<BackendId> leaving = new ArrayList<>();
    final EntryService service;
    private final ChannelFactory channels = new ChannelFactory(1 << 20);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    EntryFixture(String name, FakeTableStore store) throws IOException {
        Settings settings =
                SettingsReader.parse(
                                "test",
                                "[daemon]\nname="
                                        + name
                                        + "\ndata-centre=xela\nregion=altiplano\n"
                                        + "[entry]\naddress=127.0.0.1:0\nread-timeout=400ms\n"
                                        + "[admin]\naddress=127.0.0.1:0\n"
                                        + "[peer]\naddress=127.0.0.1:0\n"
                                        + "[platform]\naddress=127.0.0.1:1\n")
                        .toOptional()
                        .orElseThrow();
        EventLog log = new EventLog(System.getLogger("test"), new DecisionRing(64));
        EntryDependencies dependencies =
                new EntryDependencies(
                        channels, store, store, metrics, log, EntryFixture::now, System.nanoTime());
        service = EntryService.of(settings, RoutingSettings.defaults(), dependencies, leaving::add);
        service.start();
        service.router().updateEntryHosts(new EntryHosts(1, 0));
        CustomerId customer = CustomerId.of(CUSTOMER);
        service.router()
                .updateCustomers(List.of(new CustomerInfo(customer, 100, 1000, 100_000, Set.of())));
        service.router()
                .updateView(
                        new EntryView(
                                true,
                                Set.of(customer),
                                Map.of(),
                                Set.of(ServiceId.of("despacho"))));
    }

    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static void await(String event, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            Assertions.assertTrue(System.nanoTime() < deadline, event);
            LockSupport.parkNanos(1_000_000);
        }
    }

    EntryFixture withBackends(FakeBackend... backends) {
        List<BackendInfo> infos = new ArrayList<>();
        Map<BackendId, InetSocketAddress> addresses = new HashMap<>();
        for (FakeBackend backend : backends) {
            BackendId id = BackendId.of("b" + backend.address().getPort());
            infos.add(
                    new BackendInfo(
                            id,
                            ServiceId.of("despacho"),
                            DataCentreId.of("xela"),
                            "altiplano",
                            8,
                            64,
                            BackendState.LIVE));
            addresses.put(id, backend.address());
        }
        service.router().updateBackends(infos, addresses);
        return this;
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        return call("GET", path, "", headers);
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        return call("POST", path, body, headers);
    }

    HttpResponse<String> call(String method, String path, String body, String... headers)
            throws Exception {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + service.port() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return client.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Opens a plain connection to the port for callers. */
    Socket openSocket() throws IOException {
        Socket socket = new Socket("127.0.0.1", service.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Sends raw bytes and reads until the entry host closes the connection or pauses. */
    String sendRaw(String text) throws IOException {
        try (Socket socket = openSocket()) {
            socket.setSoTimeout(700);
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return readAll(socket.getInputStream());
        }
    }

    static String readAll(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] part = new byte[8192];
        try {
            for (int count = in.read(part); count >= 0; count = in.read(part)) {
                all.write(part, 0, count);
            }
        } catch (SocketException | SocketTimeoutException end) {
            // The bytes that arrived before the end are the result.
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    long counter(String name, String... labels) {
        return metrics.counter(name, labels).getCount();
    }

    @Override
    public void close() throws IOException {
        service.close();
        channels.close();
    }
}
