import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection to a forwarder, which it keeps open for many requests. */
final class Client implements AutoCloseable {
    private static final AtomicLong LAST_ID = new AtomicLong();

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream input;

    /** What came of a request; [end] is "complete", "closed", "reset" or "timeout". */
    record Result(String id, int status, Map<String, String> headers, String body, String end) {
        boolean isComplete() {
            return end.equals("complete");
        }
    }

    Client(InetSocketAddress address) {
        this.address = address;
    }

    static String nextId() {
        return String.format("%016x", LAST_ID.incrementAndGet() | 0x5a00_0000_0000_0000L);
    }

    boolean isOpen() {
        return socket != null && !socket.isClosed();
    }

    void connect() throws IOException {
        Socket next = new Socket();
        next.connect(address, 1_000);
        next.setTcpNoDelay(true);
        socket = next;
        input = new BufferedInputStream(next.getInputStream());
    }

    /** Sends a request and reads its answer, for [deadline] milliseconds at most. */
    Result request(String method, String path, String headers, byte[] body, int deadline) {
        String id = nextId();
        return request(id, method, path, headers, body, deadline);
    }

    Result request(
            String id, String method, String path, String headers, byte[] body, int deadline) {
        long end = System.nanoTime() + deadline * 1_000_000L;
        try {
            if (!isOpen()) connect();
            send(id, method, path, headers, body, deadline);
        } catch (IOException failure) {
            close();
            return new Result(id, 0, Map.of(), "", "not sent: " + failure.getMessage());
        }
        return read(id, end);
    }

    void send(String id, String method, String path, String headers, byte[] body, int deadline)
            throws IOException {
        String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nX-Request-Id: "
                + id + "\r\nX-Deadline-Ms: " + deadline + "\r\nX-Key: " + Rig.KEY + "\r\n"
                + headers + length + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        if (body != null) bytes.writeBytes(body);
        socket.getOutputStream().write(bytes.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads the answer to [id] until [end], a time of the steady clock. */
    Result read(String id, long end) {
        int status = 0;
        Map<String, String> headers = new LinkedHashMap<>();
        StringBuilder body = new StringBuilder();
        String outcome;
        try {
            String line = readLine(end);
            status = Integer.parseInt(line.split(" ")[1]);
            for (String text = readLine(end); !text.isEmpty(); text = readLine(end)) {
                int colon = text.indexOf(':');
                headers.put(text.substring(0, colon).toLowerCase(),
                        text.substring(colon + 1).trim());
            }
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                while (true) {
                    int size = Integer.parseInt(readLine(end).trim(), 16);
                    if (size > 0) read(size, body, end);
                    readLine(end);
                    if (size == 0) break;
                }
            } else {
                read(Integer.parseInt(headers.getOrDefault("content-length", "0")), body, end);
            }
            outcome = "complete";
            if ("close".equalsIgnoreCase(headers.get("connection"))) close();
        } catch (SocketTimeoutException timeout) {
            outcome = "timeout";
            close();
        } catch (ClosedException closed) {
            outcome = "closed";
            close();
        } catch (IOException failure) {
            outcome = "reset";
            close();
        }
        return new Result(id, status, headers, body.toString(), outcome);
    }

    private void read(int count, StringBuilder body, long end) throws IOException {
        for (int index = 0; index < count; index++) body.append((char) next(end));
    }

    private String readLine(long end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = next(end);
            if (next == '\n') {
                int length = text.length();
                if (length > 0 && text.charAt(length - 1) == '\r') text.setLength(length - 1);
                return text.toString();
            }
            text.append((char) next);
        }
    }

    private int next(long end) throws IOException {
        if (input.available() == 0) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) throw new SocketTimeoutException();
            socket.setSoTimeout((int) left);
        }
        int next = input.read();
        if (next < 0) throw new ClosedException();
        return next;
    }

    @Override
    public void close() {
        if (socket == null) return;
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is unusable either way.
        }
    }

    /** The peer closed the connection. */
    private static final class ClosedException extends IOException {
        private static final long serialVersionUID = 1;
    }
}
