import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer adds an entry to the platform's list whose bytes can't be read. Then a worker is listed as draining, and
 * another one is added. Clients send orders.
 *
 * The rule is broken if a request reaches the draining worker later than drain-ms (3 s) after the list showed it.
 */
public final class UnreadableEntry {
    private static final String ENTRY = "{\"id\":\"\\x7f\\x45\",\"service\":\"desk\"}";

    public static void main(String[] arguments) {
        Rig.main(arguments[0], UnreadableEntry::play);
    }

    private static boolean play(Rig rig) throws Exception {
        List<Rig.Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            workers.add(new Rig.Worker(rig, "desk-" + i, (self, request, socket, output) -> {
                Rig.sleep(20);
                Rig.answer(output, request, 200, "", "booked " + request.id());
            }));
        }
        for (int i = 1; i <= 2; i++) list(rig, workers.get(i - 1), i, "ready");
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        if (rig.trouble) rig.platform.filter = (number, body) -> body.replace("],\"next\"", "," + ENTRY + "],\"next\"");
        Rig.sleep(1_500);
        list(rig, workers.get(0), 1, "draining");
        list(rig, workers.get(2), 3, "ready");
        double drainedAt = Rig.now();
        rig.note("desk-1 is draining, desk-3 is new");
        for (int n = 0; n < 200; n++) {
            try (Rig.Client client = new Rig.Client(rig.forwarders.get(0).host, rig.callerPort)) {
                client.send("POST", "/orders/x", "order-" + n, 1_500, "", "order");
                rig.note("order-" + n + " " + client.read(2_500).status);
            } catch (IOException failure) {
                rig.note("order-" + n + " " + failure);
            }
            Rig.sleep(50);
        }
        long late = workers.get(0).ran.stream().filter(request -> request.at > drainedAt + 3.0).count();
        rig.say("requests at the draining worker later than 3 s after the list showed it: " + late);
        rig.say("requests at the new worker: " + workers.get(2).ran.size());
        return late == 0;
    }

    private static void list(Rig rig, Rig.Worker worker, int number, String state) {
        rig.platform.put(worker.id, "desk", worker.address(), "zone-" + number, 16, state, "");
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"orders\",\"host\":\"desk.example\",\"path-prefix\":\"/orders/\",\"route-type\":\"unsafe\",\"timeout-ms\":1500,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\"public\":true}],"
            + "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-connections\":130,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
