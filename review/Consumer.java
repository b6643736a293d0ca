package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A consumer that sends one request on a connection of its own. Stateless. */
final class Consumer {
    private Consumer() {}

    /** What a consumer saw of one request. */
    record Seen(String id, long sentMillis, long endMillis, int status, boolean sealed, boolean whole, String how) {
        boolean answered() {
            return status > 0 && whole;
        }

        @Override
        public String toString() {
            return "request " + id + " sent at " + sentMillis + " ended at " + endMillis + ": " + how;
        }
    }

    static String head(String method, String path, String id, long deadlineMillis, String more, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nAuthorization: Token " + Deployment.KEY + "\r\n" + more
                + (bodyBytes > 0 || method.equals("POST") ? "Content-Length: " + bodyBytes + "\r\n" : "") + "\r\n";
    }

    static Socket connect(int port, int receiveBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBytes > 0) {
            socket.setReceiveBufferSize(receiveBytes);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        return socket;
    }

    /** Sends a request and waits for its answer; the consumer leaves when its deadline has passed by a second. */
    static Seen call(Lab lab, int port, String method, String path, String id, long deadlineMillis, byte[] body) {
        long sent = lab.millis();
        try (Socket socket = connect(port, 0)) {
            socket.setSoTimeout((int) deadlineMillis + 1_000);
            OutputStream out = socket.getOutputStream();
            out.write(head(method, path, id, deadlineMillis, "", body.length).getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            sent = lab.millis();
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return new Seen(id, sent, lab.millis(), 0, false, false, "closed without an answer");
            }
            byte[] answer = Http.readBody(in, head);
            boolean sealed = head.field("x-server-seal") != null;
            boolean own = !sealed
                    || Arrays.equals(answer, PlainServer.answerTo(id, answer.length));
            return new Seen(
                    id,
                    sent,
                    lab.millis(),
                    head.status(),
                    sealed,
                    true,
                    "status " + head.status() + (sealed ? " of a server" : " of the gateway") + (own ? "" : ", foreign body"));
        } catch (SocketTimeoutException e) {
            return new Seen(id, sent, lab.millis(), 0, false, false, "no answer until a second after the deadline");
        } catch (IOException e) {
            return new Seen(id, sent, lab.millis(), 0, false, false, "broken: " + e);
        }
    }
}
