import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A worker truncates one answer in twenty without closing the connection, and sends the answer before a second time, where
 * the next answer is expected. Clients check that each whole answer is the worker's whole body for their request.
 */
public final class CutAndFilled {
    private static final int CLIENTS = 10, SECONDS = 20;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CutAndFilled::play);
    }

    private static boolean play(Rig rig) throws Exception {
        AtomicInteger number = new AtomicInteger();
        Map<java.net.Socket, String> last = new ConcurrentHashMap<>();
        for (int i = 1; i <= 2; i++) {
            boolean isBad = rig.trouble && i == 1;
            Rig.Worker worker = new Rig.Worker(rig, "desk-" + i, (self, request, socket, output) -> {
                Rig.sleep(20);
                String body = ("booked " + request.id() + ";").repeat(30);
                String answer = Rig.head(request, 200, "Content-Length: " + body.length() + "\r\n\r\n") + body;
                String before = last.put(socket, answer);
                if (isBad && before != null && number.incrementAndGet() % 20 == 0) {
                    output.write(Rig.bytes(answer.substring(0, answer.length() - body.length() / 2)));
                    output.flush();
                    Rig.sleep(30);
                    output.write(Rig.bytes(before));
                } else {
                    output.write(Rig.bytes(answer));
                }
                output.flush();
            });
            rig.platform.put(worker.id, "desk", worker.address(), "zone-1", 64, "ready", "");
        }
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        long end = System.nanoTime() + SECONDS * 1_000_000_000L;
        AtomicInteger whole = new AtomicInteger();
        Queue<String> mixed = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.thread("orders", () -> {
                Rig.Client connection = null;
                for (int n = 0; System.nanoTime() < end; n++) {
                    String id = "order-" + client + "-" + n;
                    try {
                        if (connection == null) connection = new Rig.Client(rig.forwarders.get(0).host, rig.callerPort);
                        connection.send("POST", "/orders/x", id, 1_500, "", "order");
                        Rig.Answer answer = connection.read(2_500);
                        boolean isOwn = answer.text().equals(("booked " + id + ";").repeat(30));
                        if (answer.status == 200 && answer.isComplete && isOwn) whole.incrementAndGet();
                        if (answer.status == 200 && answer.isComplete && !isOwn) mixed.add(id + " got " + answer.text().replaceAll("\\s+", " "));
                        if (!answer.isComplete) throw new IOException(answer.failure);
                    } catch (IOException failure) {
                        if (connection != null) connection.close();
                        connection = null;
                    }
                }
            }));
        }
        for (Thread client : clients) client.join();
        mixed.forEach(rig::note);
        rig.say("whole answers " + whole + ", whole by their length with other bytes: " + mixed.size());
        return mixed.isEmpty();
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"orders\",\"host\":\"desk.example\",\"path-prefix\":\"/orders/\",\"route-type\":\"unsafe\",\"timeout-ms\":1500,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":130,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
