import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * The reader of a forwarder's standard output stands still for 15 seconds, as a log collector does that waits for its own
 * disk or is stopped. Clients send orders at a steady rate. Nothing else is disturbed.
 *
 * The rule is broken if, of the orders that are unanswered at the timeout of their route, eight or more and over half
 * have no answer half a second later.
 */
public final class LogStall {
    private static final int CLIENTS = 30, STALL_MILLISECONDS = 15_000;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LogStall::play);
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
        rig.startFleet(1, configuration(), true);
        Rig.sleep(4_000);
        Rig.Unit forwarder = rig.forwarders.get(0);
        AtomicBoolean isOver = new AtomicBoolean();
        Map<String, String> orders = new ConcurrentHashMap<>();
        Map<String, Double> late = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.thread("orders", () -> order(rig, forwarder, client, isOver, orders, late)));
        }
        Rig.sleep(6_000);
        if (rig.trouble) {
            rig.note("the log is not read from now on");
            forwarder.isPipeRead = false;
        }
        Rig.sleep(STALL_MILLISECONDS - 1_000);
        rig.note("ready near the end of the stall: " + rig.isReady(forwarder));
        Rig.sleep(1_000);
        forwarder.isPipeRead = true;
        rig.note("the log is read again");
        Rig.sleep(6_000);
        isOver.set(true);
        for (Thread client : clients) client.join();
        Rig.sleep(500);
        Map<String, Integer> runs = Rig.runs(workers);
        Map<String, Integer> outcomes = new TreeMap<>();
        orders.values().forEach(outcome -> outcomes.merge(outcome, 1, Integer::sum));
        long unanswered = late.values().stream().filter(seconds -> seconds > 2.0).count();
        late.forEach((id, seconds) -> rig.note(id + " had no answer at 1.5 s; answered or given up after "
            + String.format(Locale.ROOT, "%.2f", seconds) + " s, runs " + runs.getOrDefault(id, 0)));
        rig.say("orders by outcome: " + outcomes);
        rig.say("orders unanswered at the timeout of their route: " + late.size() + ", also half a second later: " + unanswered);
        return !(unanswered >= 8 && unanswered * 2 > late.size());
    }

    private static void order(
        Rig rig, Rig.Unit forwarder, int client, AtomicBoolean isOver, Map<String, String> orders, Map<String, Double> late
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
                orders.put(id, answer.status + (answer.isComplete ? "" : " none: " + answer.failure));
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
