import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy of TCP channels that resets them while it is cut. */
final class Proxy {
    private final ServerSocket server = new ServerSocket();
    private final InetSocketAddress target;

    /** True while the network is cut. */
    volatile boolean cut;

    Proxy(InetSocketAddress address, InetSocketAddress target) throws IOException {
        this.target = target;
        server.bind(address);
        run(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket from = server.accept();
                run(() -> pass(from));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void pass(Socket from) {
        try (from;
                Socket to = new Socket(target.getAddress(), target.getPort())) {
            if (cut) {
                return;
            }
            Thread back = run(() -> copy(to, from));
            copy(from, to);
            back.join(1_000);
        } catch (IOException | InterruptedException broken) {
            // The channel ends.
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] bytes = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (cut) {
                    break;
                }
                out.write(bytes, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException broken) {
            // The channel ends.
        }
    }

    private static Thread run(Runnable task) {
        Thread thread = new Thread(task, "proxy");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
