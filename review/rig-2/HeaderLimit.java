import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * The configuration lets clients send heads of 32,768 bytes. A forwarder is killed and started again; clients come back at
 * once and keep their connections. Later than contact-ms after the start, some of their requests have a head of 20 KB.
 *
 * The rule is broken if more than 5 + one in 500 of all requests get a 4xx of the forwarder's own (other than 408, 421 and
 * 429), counted while the forwarder is in touch.
 */
public final class HeaderLimit {
    private static final int CLIENTS = 40;
    private static final double IN_TOUCH_AFTER = 4.0;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], HeaderLimit::play);
    }

    private static boolean play(Rig rig) throws Exception {
        for (int i = 1; i <= 3; i++) {
            Rig.Worker worker = new Rig.Worker(rig, "desk-" + i, (self, request, socket, output) -> {
                Rig.sleep(20);
                Rig.answer(output, request, 200, "", "records of " + request.id());
            });
            rig.platform.put(worker.id, "desk", worker.address(), "zone-" + i, 64, "ready", "");
        }
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        Rig.Unit forwarder = rig.forwarders.get(0);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicReference<Double> startedAt = new AtomicReference<>(Rig.now() - IN_TOUCH_AFTER);
        AtomicBoolean isUp = new AtomicBoolean(true);
        AtomicInteger requests = new AtomicInteger(), denied = new AtomicInteger();
        Map<String, AtomicInteger> answers = new ConcurrentSkipListMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.thread("client", () -> ask(rig, forwarder, client, isOver, startedAt, isUp, requests, denied, answers)));
        }
        Rig.sleep(6_000);
        if (rig.trouble) {
            isUp.set(false);
            forwarder.signal("KILL");
            forwarder.process.waitFor();
            Rig.sleep(500);
            forwarder.start();
            startedAt.set(Rig.now());
            isUp.set(true);
        }
        Rig.sleep(20_000);
        isOver.set(true);
        for (Thread client : clients) client.join();
        rig.say("answers while the forwarder was in touch, by size of the head: " + answers);
        rig.say("requests while in touch " + requests + ", ended with a 4xx of the forwarder's own " + denied);
        return denied.get() <= 5 + requests.get() / 500;
    }

    private static void ask(
        Rig rig, Rig.Unit forwarder, int client, AtomicBoolean isOver, AtomicReference<Double> startedAt, AtomicBoolean isUp,
        AtomicInteger requests, AtomicInteger denied, Map<String, AtomicInteger> answers
    ) {
        Rig.Client connection = null;
        for (int n = 0; !isOver.get(); n++) {
            double age = Rig.now() - startedAt.get();
            boolean isInTouch = isUp.get() && age > IN_TOUCH_AFTER;
            boolean isLarge = isInTouch && n % 5 == client % 5;
            String id = "lookup-" + client + "-" + n;
            try {
                if (connection == null) connection = new Rig.Client(forwarder.host, rig.callerPort);
                String headers = isLarge ? "X-Model: m\r\nX-Context: " + "c".repeat(20_000) + "\r\n" : "";
                connection.send("GET", "/lookup/x", id, 1_500, headers, "");
                Rig.Answer answer = connection.read(2_500);
                if (isInTouch) {
                    requests.incrementAndGet();
                    String kind = (isLarge ? "20 KB " : "small ") + answer.status;
                    answers.computeIfAbsent(kind, k -> new AtomicInteger()).incrementAndGet();
                    boolean isOwn = answer.status / 100 == 4 && !Set.of(408, 421, 429).contains(answer.status)
                        && answer.header("X-Response-Seal") == null;
                    if (isOwn) {
                        denied.incrementAndGet();
                        rig.note(id + " was answered " + answer.status + " " + String.format(Locale.ROOT, "%.1f", age) + " s after the start");
                    }
                }
                if (!answer.isComplete || "close".equalsIgnoreCase(answer.header("Connection"))) {
                    connection.close();
                    connection = null;
                }
                Rig.sleep(400);
            } catch (IOException failure) {
                if (connection != null) connection.close();
                connection = null;
                Rig.sleep(5);
            }
        }
        if (connection != null) connection.close();
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"lookup\",\"host\":\"desk.example\",\"path-prefix\":\"/lookup/\",\"route-type\":\"safe\",\"timeout-ms\":1500,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,\"public\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":130,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":32768,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
