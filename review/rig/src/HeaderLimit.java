import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All processes are killed at the same moment and started again; the only configuration of the day
 * allows headers of 32 KiB. Broken if clients that came back at once are refused later, on the
 * connections that they kept, for headers of 20 KB.
 */
final class HeaderLimit {
    private static final int CLIENTS = 12;
    private static final int DOWN_MILLISECONDS = 500;
    private static final int SETTLING_MILLISECONDS = 8_000;

    private HeaderLimit() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, HeaderLimit::run);
    }

    private static int run(Rig rig) throws Exception {
        Worker desk =
                new Worker(rig, "i-1", "desk", "zone-a", exchange -> exchange.ok("record"));
        rig.list.showNow(List.of(desk.entry()));
        rig.start(3, 1);
        rig.publish(Configurations.document(1, List.of(Configurations.plain("desk")),
                        List.of(Configurations.route(
                                "lookup", "safe", 3_000, 300, "desk", 2, false)))
                .replace("\"max-header-bytes\":16384", "\"max-header-bytes\":32768"));
        rig.awaitReady();
        Rig.pause(3_000);
        if (Rig.TROUBLE) killAndRestart(rig);

        AtomicInteger requests = new AtomicInteger();
        ConcurrentLinkedQueue<Client> kept = new ConcurrentLinkedQueue<>();
        Traffic traffic = new Traffic();
        for (int index = 0; index < CLIENTS; index++) {
            traffic.start(() -> kept.add(comeBack(rig, requests)));
        }
        traffic.join();
        rig.awaitReady();
        Rig.pause(SETTLING_MILLISECONDS);

        int denied = 0;
        String note = "X-Note: " + "n".repeat(20_000) + "\r\n";
        for (Client client : kept) {
            boolean isKept = client.isOpen();
            requests.incrementAndGet();
            Client.Result result = client.request("GET", "/lookup/a", note, null, 3_000);
            rig.log("request with 20 KB of headers, on a kept connection: " + isKept + ": "
                    + result.status() + " " + result.end());
            if (result.status() >= 400 && result.status() < 500) denied += 1;
            client.close();
        }
        try (Client fresh = new Client(rig.front(0))) {
            requests.incrementAndGet();
            Client.Result result = fresh.request("GET", "/lookup/a", note, null, 3_000);
            rig.log("the same on a new connection: " + result.status());
        }
        double bound = 5 + requests.get() / 500.0;
        rig.log("denied " + denied + " of " + requests + " requests, bound " + bound);
        return denied > bound ? Rig.BROKEN : Rig.HELD;
    }

    private static void killAndRestart(Rig rig) throws Exception {
        rig.kill("forwarder-0");
        for (int index = 0; index < 3; index++) rig.kill("controller-" + index);
        Rig.pause(DOWN_MILLISECONDS);
        for (int index = 0; index < 3; index++) rig.startController(index, false);
        rig.startForwarder(0);
    }

    /** Tries, each time on a new connection, until a request is served; keeps the connection. */
    private static Client comeBack(Rig rig, AtomicInteger requests) {
        while (true) {
            Client client = new Client(rig.front(0));
            Client.Result result = client.request("GET", "/lookup/a", "", null, 3_000);
            if (result.status() > 0) requests.incrementAndGet();
            if (result.status() == 200) return client;
            client.close();
            Rig.pause(50);
        }
    }
}
