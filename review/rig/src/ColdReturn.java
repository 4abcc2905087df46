import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A zone is emptied and taken back, and its worker has become cold shortly before. Broken if the
 * cold worker gets more requests in a second than the bound allows.
 */
final class ColdReturn {
    private static final double COLD_PER_SECOND = 2;
    private static final double COLD_FACTOR = 1.5;
    private static final double COLD_SLACK = 5;
    private static final int COLD_MILLISECONDS = 3_000;

    /** The worker becomes cold so long before its zone is taken back. */
    private static final int COLD_BEFORE_MILLISECONDS = 300;

    /** Requests in a second at which the cold worker crashes, well above what it tolerates. */
    private static final int CRASH_AT = 12;

    private ColdReturn() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, ColdReturn::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        ConcurrentLinkedQueue<Long> counted = new ConcurrentLinkedQueue<>();
        AtomicInteger crashes = new AtomicInteger();
        Deque<Long> recent = new ArrayDeque<>();
        long[] coldSince = {Long.MAX_VALUE};
        Worker[] returning = {null};

        Worker steady = new Worker(rig, "i-1", "desk", "zone-a", exchange -> {
            Rig.pause(30);
            exchange.ok("booked");
        });
        Worker.Script script = exchange -> {
            long now = milliseconds();
            boolean isCold = now >= coldSince[0] && now < coldSince[0] + COLD_MILLISECONDS;
            if (isCold && now - sentAt.getOrDefault(exchange.request.id(), 0L) < 1_000) {
                counted.add(now - coldSince[0]);
            }
            if (isCold && isTooMuch(recent, now)) {
                if (crashes.getAndIncrement() == 0) {
                    rig.log("worker i-2 crashes under " + CRASH_AT + " requests in a second");
                    returning[0].crash();
                }
                return;
            }
            Rig.pause(30);
            exchange.ok("booked");
        };
        returning[0] = new Worker(rig, "i-2", "desk", "zone-b", script);
        String warm = returning[0].entry();
        rig.list.showNow(List.of(steady.entry(), warm));
        rig.start(3, 2);
        rig.publish(Configurations.document(1, List.of(service()), List.of(
                Configurations.route("book", "unsafe", 800, 300, "desk", 1, false))));
        rig.awaitReady();

        AtomicInteger bookings = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Traffic traffic = new Traffic();
        for (int index = 0; index < 12; index++) {
            traffic.repeat(rig, index % 2, 200, (client, step) -> {
                String id = Client.nextId();
                sentAt.put(id, milliseconds());
                Client.Result result =
                        client.request(id, "POST", "/book/a", "", "booking".getBytes(), 1_500);
                bookings.incrementAndGet();
                if (result.status() == 200 || result.status() == 503) return;
                lost.incrementAndGet();
                rig.log("booking " + id + ": " + result.status() + " " + result.end());
            });
        }
        Rig.pause(3_000);
        String evacuation = "/hibiscusproxy/evacuations/zone-b";
        rig.log("evacuation: " + rig.order(0, "POST", evacuation, "").status());
        Rig.pause(5_500);
        coldSince[0] = Rig.TROUBLE ? milliseconds() : Long.MAX_VALUE;
        if (Rig.TROUBLE) {
            rig.log("worker i-2 becomes cold for " + COLD_MILLISECONDS + " ms");
            rig.list.show(List.of(steady.entry(), warm.replace("\"cold-remaining-ms\":0",
                    "\"cold-remaining-ms\":" + (COLD_MILLISECONDS - 800))));
        }
        Rig.pause(COLD_BEFORE_MILLISECONDS);
        rig.log("taken back: " + rig.order(0, "DELETE", evacuation, "").status());
        Rig.pause(COLD_MILLISECONDS);
        traffic.stop();

        int worst = worstSecond(List.copyOf(counted));
        double bound = COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK;
        rig.log("requests at worker i-2, in ms since it is cold: " + counted);
        rig.log("most in one second: " + worst + ", bound " + bound + "; " + bookings
                + " bookings, " + lost + " of them failed after they were sent on");
        return worst > bound ? Rig.BROKEN : Rig.HELD;
    }

    private static long milliseconds() {
        return System.nanoTime() / 1_000_000;
    }

    /** Whether the request at [now] makes [CRASH_AT] within a second. */
    private static boolean isTooMuch(Deque<Long> recent, long now) {
        synchronized (recent) {
            recent.addLast(now);
            while (recent.peekFirst() < now - 1_000) recent.removeFirst();
            return recent.size() >= CRASH_AT;
        }
    }

    private static int worstSecond(List<Long> arrivals) {
        int worst = 0;
        for (long first : arrivals) {
            int count = 0;
            for (long arrival : arrivals) {
                if (arrival >= first && arrival < first + 1_000) count += 1;
            }
            worst = Math.max(worst, count);
        }
        return worst;
    }

    private static String service() {
        return Configurations.plain("desk").replace(
                "\"cold-start-s\":0.0,\"cold-per-s\":0.0",
                "\"cold-start-s\":3.0,\"cold-per-s\":" + COLD_PER_SECOND);
    }
}
