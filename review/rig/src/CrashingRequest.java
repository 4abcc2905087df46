import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each worker that begins to run it, and its client repeats it at once and comes
 * again. Broken if it still reaches workers more than three times later than 3 s after the third
 * crash.
 */
final class CrashingRequest {
    private static final int WORKERS = 3;

    /** The client sends the request and repeats it three times at once. */
    private static final int AT_ONCE = 4;
    private static final int ROUNDS = 6;
    private static final int ROUND_MILLISECONDS = 4_000;
    private static final int DOWN_MILLISECONDS = 2_000;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final byte[] CRASHING = "crashing request".getBytes();

    private CrashingRequest() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, CrashingRequest::run);
    }

    private static int run(Rig rig) throws Exception {
        List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
        List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
        List<String> entries = new ArrayList<>();
        for (int index = 0; index < WORKERS; index++) {
            entries.add(worker(rig, index, arrivals, crashes).entry());
        }
        rig.list.showNow(entries);
        rig.start(3, 3);
        rig.publish(Configurations.document(1, List.of(Configurations.plain("desk")), List.of(
                Configurations.route("book", "unsafe", 800, 300, "desk", 1, false))));
        rig.awaitReady();
        Rig.pause(CONTACT_MILLISECONDS + 500);

        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        Traffic traffic = new Traffic();
        for (int index = 0; index < 9; index++) {
            traffic.repeat(rig, index % 3, 100, (client, step) -> {
                byte[] body = ("booking " + Client.nextId()).getBytes();
                Client.Result result = client.request("POST", "/book/a", "", body, 1_500);
                if (result.status() == 200) served.incrementAndGet();
                else if (result.status() == 503) refused.incrementAndGet();
                else broken.incrementAndGet();
            });
        }
        for (int round = 0; round < ROUNDS; round++) {
            sendAtOnce(rig);
            Rig.pause(ROUND_MILLISECONDS);
        }
        traffic.stop();

        rig.log("sound bookings: " + served + " served, " + refused + " refused, " + broken
                + " broken off");
        rig.log("crashes: " + crashes.size());
        if (crashes.size() < 3) return Rig.TROUBLE ? Rig.COULD_NOT_RUN : Rig.HELD;
        long third = crashes.get(2);
        List<Long> times = arrivals.stream().map(arrival -> arrival - third).toList();
        long late = times.stream().filter(time -> time > CONTACT_MILLISECONDS).count();
        rig.log("arrivals of the request, in ms since the third crash: " + times);
        rig.log("later than " + CONTACT_MILLISECONDS + " ms: " + late + ", bound 3");
        return late > 3 ? Rig.BROKEN : Rig.HELD;
    }

    private static Worker worker(Rig rig, int index, List<Long> arrivals, List<Long> crashes)
            throws Exception {
        Worker[] self = {null};
        AtomicBoolean isDown = new AtomicBoolean();
        self[0] = new Worker(rig, "i-" + index, "desk", Rig.zone(index), exchange -> {
            boolean isCrashing = Arrays.equals(exchange.request.body(), CRASHING);
            if (!isCrashing || !Rig.TROUBLE) {
                Rig.pause(30);
                exchange.ok("booked");
                return;
            }
            arrivals.add(milliseconds());
            if (isDown.getAndSet(true)) return;
            Rig.pause(5);
            crashes.add(milliseconds());
            rig.log("worker i-" + index + " crashes");
            self[0].crash();
            Worker.daemon(() -> {
                Rig.pause(DOWN_MILLISECONDS);
                isDown.set(false);
                listenAgain(rig, self[0]);
            });
        });
        return self[0];
    }

    private static void listenAgain(Rig rig, Worker worker) {
        try {
            worker.listen();
            rig.log("worker " + worker.id + " is back");
        } catch (java.io.IOException failure) {
            rig.log("worker " + worker.id + " cannot listen: " + failure);
        }
    }

    /** Sends the request on several new connections at once, to the forwarders in turn. */
    private static void sendAtOnce(Rig rig) throws InterruptedException {
        Traffic copies = new Traffic();
        for (int copy = 0; copy < AT_ONCE; copy++) {
            int forwarder = copy % 3;
            copies.start(() -> {
                try (Client client = new Client(rig.front(forwarder))) {
                    Client.Result result =
                            client.request("POST", "/book/a", "", CRASHING, 1_500);
                    rig.log("crashing request " + result.id() + ": " + result.status() + " "
                            + result.end());
                }
            });
        }
        copies.join();
    }

    private static long milliseconds() {
        return System.nanoTime() / 1_000_000;
    }
}
