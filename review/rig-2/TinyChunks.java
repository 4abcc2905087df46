import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Some clients send bodies of a legal size, one after the other, in chunks of one byte, as fast as they are taken, and read
 * the answers. Other clients send ordinary orders.
 *
 * The rule is broken if, of the ordinary orders that are unanswered at the timeout of their route, eight or more and over
 * half have no answer half a second later.
 */
public final class TinyChunks {
    private static final int SENDERS = 250, BODY_BYTES = 60_000, CLIENTS = 12, SECONDS = 25;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], TinyChunks::play);
    }

    private static boolean play(Rig rig) throws Exception {
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Rig.Worker worker = new Rig.Worker(rig, "desk-" + i, (self, request, socket, output) -> {
                Rig.sleep(86);
                Rig.answer(output, request, 200, "", "booked " + request.id());
            });
            workers.add(worker);
            rig.platform.put(worker.id, "desk", worker.address(), "zone-" + i, 16, "ready", "");
        }
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        Rig.Unit forwarder = rig.forwarders.get(0);
        AtomicBoolean isOver = new AtomicBoolean();
        Map<String, AtomicInteger> orders = new ConcurrentSkipListMap<>(), bodies = new ConcurrentSkipListMap<>();
        Map<String, Double> late = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.thread("orders", () -> order(rig, forwarder, client, isOver, orders, late)));
        }
        Rig.sleep(5_000);
        // In calm the same bodies come in chunks of 8,192 bytes.
        byte[] chunks = chunks(rig.trouble ? 1 : 8_192);
        for (int i = 0; i < SENDERS; i++) {
            int sender = i;
            Rig.thread("bodies", () -> upload(rig, forwarder, sender, chunks, isOver, bodies));
        }
        for (int second = 0; second < SECONDS; second += 5) {
            Rig.sleep(5_000);
            rig.note("orders " + orders + ", bodies " + bodies + ", ready " + rig.isReady(forwarder));
        }
        isOver.set(true);
        for (Thread client : clients) client.join();
        Map<String, Integer> runs = Rig.runs(workers);
        long unanswered = late.values().stream().filter(seconds -> seconds > 2.0).count();
        late.forEach((id, seconds) -> rig.note(id + " had no answer at 1.5 s; answered or given up after "
            + String.format(Locale.ROOT, "%.2f", seconds) + " s, runs " + runs.getOrDefault(id, 0)));
        rig.say("ordinary orders by answer, 0 for none: " + orders);
        rig.say("large bodies by answer, 0 for none: " + bodies);
        rig.say("orders unanswered at the timeout of their route: " + late.size() + ", also half a second later: " + unanswered);
        return !(unanswered >= 8 && unanswered * 2 > late.size()) && forwarder.isAlive();
    }

    private static byte[] chunks(int size) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int sent = 0; sent < BODY_BYTES; sent += size) {
            int count = Math.min(size, BODY_BYTES - sent);
            text.write(Rig.bytes(Integer.toHexString(count) + "\r\n" + "b".repeat(count) + "\r\n"));
        }
        text.write(Rig.bytes("0\r\n\r\n"));
        return text.toByteArray();
    }

    private static void upload(
        Rig rig, Rig.Unit forwarder, int sender, byte[] chunks, AtomicBoolean isOver, Map<String, AtomicInteger> bodies
    ) {
        for (int n = 0; !isOver.get(); n++) {
            int status = 0;
            try (Rig.Client client = new Rig.Client(forwarder.host, rig.callerPort)) {
                OutputStream output = client.socket.getOutputStream();
                output.write(Rig.bytes("POST /orders/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: body-" + sender + "-" + n
                    + "\r\nX-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n"));
                output.write(chunks);
                output.flush();
                status = client.read(15_000).status;
            } catch (IOException failure) {
                // Counted as without an answer.
            }
            bodies.computeIfAbsent("" + status, s -> new AtomicInteger()).incrementAndGet();
            Rig.sleep(3_000);
        }
    }

    private static void order(
        Rig rig, Rig.Unit forwarder, int client, AtomicBoolean isOver, Map<String, AtomicInteger> orders, Map<String, Double> late
    ) {
        Rig.Client connection = null;
        for (int n = 0; !isOver.get(); n++) {
            String id = "order-" + client + "-" + n;
            double sentAt = 0;
            try {
                if (connection == null) connection = new Rig.Client(forwarder.host, rig.callerPort);
                connection.send("POST", "/orders/x", id, 1_500, "", "order");
                sentAt = Rig.now();
                Rig.Answer answer = connection.read(2_500);
                orders.computeIfAbsent("" + answer.status, s -> new AtomicInteger()).incrementAndGet();
                if (!answer.isComplete) throw new IOException(answer.failure);
                if (Rig.now() - sentAt > 1.5) late.put(id, Rig.now() - sentAt);
            } catch (IOException failure) {
                if (sentAt > 0 && Rig.now() - sentAt > 1.5) late.put(id, Rig.now() - sentAt);
                if (connection != null) connection.close();
                connection = null;
            }
            Rig.sleep(150);
        }
        if (connection != null) connection.close();
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"orders\",\"host\":\"desk.example\",\"path-prefix\":\"/orders/\",\"route-type\":\"unsafe\",\"timeout-ms\":1500,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":130,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
