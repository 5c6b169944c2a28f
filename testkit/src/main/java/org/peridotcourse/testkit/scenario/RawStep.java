package org.peridotcourse.testkit.scenario;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.peridotcourse.testkit.scenario.HttpStep.StepResponse;

/**
 * Sends bytes that an HTTP client would not send, and reads until the peer closes the connection.
 * It holds no state and is thread-safe.
 */
final class RawStep {
    private RawStep() {}

    /**
     * Sends the text, in which the escape sequence {@code \r\n} stands for a line end, and returns
     * all received bytes as the body.
     */
    static StepResponse send(String address, int millis, String text) {
        String[] parts = address.split(":");
        StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
            socket.setSoTimeout(millis);
            String bytes = text.replace("\\r\\n", "\r\n");
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            readAll(socket, received);
        } catch (IOException e) {
            return toStepResponse(received);
        }
        return toStepResponse(received);
    }

    private static void readAll(Socket socket, StringBuilder received) throws IOException {
        byte[] buffer = new byte[4096];
        try {
            int count = socket.getInputStream().read(buffer);
            while (count >= 0) {
                received.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                count = socket.getInputStream().read(buffer);
            }
        } catch (SocketTimeoutException e) {
            received.append("\n(still open)");
        }
    }

    private static StepResponse toStepResponse(StringBuilder received) {
        String text = received.toString();
        boolean valid = text.matches("(?s)HTTP/1\\.1 [0-9]{3}.*");
        return new StepResponse(valid ? Integer.parseInt(text.substring(9, 12)) : 0, null, text, 0);
    }
}
