import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * All workers stand in one zone, whose workers are down for four seconds and come back together. The platform's list still
 * names them for two seconds, is empty for two more, and then names the new ones. One answer of the platform is late: a
 * controller that asked just before the new workers were listed gets the empty list a few milliseconds after another
 * controller got the new one. Clients send streams that may run once only.
 *
 * The rule is broken if a request that a worker ran is answered 503, or if a client gets bytes of an answer in the middle
 * of another one or with no request waiting.
 */
public final class ListGap {
    private static final int WORKERS = 4, PER_SECOND = 70, GAPS = 5, LATE_MILLISECONDS = 6;
    private static final Object CALLS = new Object();
    /** Time of the last return of the workers, and whether it was answered to a controller yet. */
    private static boolean isGap, isReturning;
    private static long waiting;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], ListGap::play);
    }

    private static boolean play(Rig rig) throws Exception {
        List<Rig.Worker> workers = new ArrayList<>();
        startWorkers(rig, workers, 0);
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        Rig.Unit forwarder = rig.forwarders.get(0);
        AtomicBoolean isOver = new AtomicBoolean();
        Map<String, String> answers = new ConcurrentHashMap<>();
        Map<String, String> extra = new ConcurrentHashMap<>();
        rig.platform.filter = (number, body) -> answer(rig, number);
        Thread load = Rig.thread("load", () -> {
            long start = System.nanoTime();
            for (int n = 0; !isOver.get(); n++) {
                Rig.sleep((start + n * 1_000_000_000L / PER_SECOND - System.nanoTime()) / 1_000_000);
                int number = n;
                Rig.thread("chat", () -> chat(rig, forwarder, number, answers, extra));
            }
        });
        for (int gap = 1; gap <= GAPS; gap++) {
            Rig.sleep(8_000);
            if (!rig.trouble) continue;
            rig.note("the workers of the zone are down");
            for (Rig.Worker worker : workers) worker.crash();
            Rig.sleep(2_000);
            synchronized (CALLS) {
                rig.platform.entries.clear();
                isGap = true;
            }
            rig.note("the list is empty");
            Rig.sleep(2_000);
            synchronized (CALLS) {
                startWorkers(rig, workers, gap);
                isGap = false;
                isReturning = true;
                rig.note("the list names new workers");
            }
        }
        Rig.sleep(8_000);
        isOver.set(true);
        load.join();
        Rig.sleep(12_000);
        Map<String, Integer> runs = Rig.runs(workers);
        Map<String, Integer> statuses = new TreeMap<>();
        int refused = 0;
        for (Map.Entry<String, String> entry : answers.entrySet()) {
            statuses.merge(entry.getValue(), 1, Integer::sum);
            boolean isRefusal = Set.of("503", "429", "408", "421").contains(entry.getValue().split(" ")[0]);
            if (isRefusal && runs.getOrDefault(entry.getKey(), 0) > 0) {
                refused++;
                rig.note(entry.getKey() + " was answered " + entry.getValue() + " and ran " + runs.get(entry.getKey()) + " time(s)");
            }
        }
        extra.forEach((id, bytes) -> rig.note(id + " got bytes of another answer " + bytes));
        rig.say("answers: " + statuses);
        rig.say("answered as not run although a worker ran them: " + refused);
        rig.say("got bytes of another answer in the middle of one, or with no request waiting: " + extra.size());
        return refused == 0 && extra.isEmpty();
    }

    private static void startWorkers(Rig rig, List<Rig.Worker> workers, int generation) throws IOException {
        for (int i = 1; i <= WORKERS; i++) {
            String id = "llm-" + generation + "-" + i;
            Rig.Worker worker = new Rig.Worker(rig, id, (self, request, socket, output) -> stream(request, output, generation > 0 ? 1_000 : 100));
            workers.add(worker);
            rig.platform.put(id, "llm", worker.address(), "zone-1", 128, "ready", "");
        }
    }

    /** The list that a controller gets: what it is when the call arrives. One call of each gap is answered late. */
    private static String answer(Rig rig, int number) {
        String body;
        synchronized (CALLS) {
            body = rig.platform.body();
            if (isReturning) {
                // The first call after the return; the late answer follows.
                isReturning = false;
                CALLS.notifyAll();
                return body;
            }
            if (!isGap) return body;
            // The latest call of the gap waits until the list has been given to another controller, for 900 ms at most.
            long turn = ++waiting;
            long end = System.nanoTime() + 900_000_000L;
            boolean wasReturned = false;
            while (turn == waiting && System.nanoTime() < end) {
                try {
                    CALLS.wait(5);
                } catch (InterruptedException e) {
                    return body;
                }
                if (!isGap && !isReturning) {
                    wasReturned = true;
                    break;
                }
            }
            if (!wasReturned) return body;
        }
        Rig.sleep(LATE_MILLISECONDS);
        rig.note("late answer to call " + number);
        return body;
    }

    /** A worker that has just started is slow. */
    private static void stream(Rig.Request request, OutputStream output, long first) throws IOException {
        Rig.sleep(first);
        output.write(Rig.bytes(Rig.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")));
        for (int i = 1; i <= 40; i++) {
            Rig.chunk(output, Rig.event(i, "text of " + request.id()));
            Rig.sleep(100);
        }
        output.write(Rig.bytes("0\r\n\r\n"));
        output.flush();
    }

    private static void chat(Rig rig, Rig.Unit forwarder, int number, Map<String, String> answers, Map<String, String> extra) {
        String id = "chat-" + number;
        try (Rig.Client client = new Rig.Client(forwarder.host, rig.callerPort)) {
            String prompt = "X-Model: m\r\nX-Token-Counts: 713,70\r\nX-Prompt-Prefix: c" + Integer.toHexString(number % 42) + ":603,q"
                + Integer.toHexString(number) + ":110\r\n";
            client.send("POST", "/chat/x", id, 15_000, prompt, "hello");
            Rig.Answer answer = client.read(16_000);
            String outcome = answer.headers.getOrDefault("X-Hibiscus-Outcome", "");
            boolean isForeign = answer.failure.contains("HTTP/1.1 ");
            if (isForeign) extra.put(id, "in the middle of the stream: " + answer.failure);
            answers.put(id, (answer.status + (answer.isComplete ? " whole " : " broken off ") + outcome
                + (answer.status == 503 ? " " + answer.text() : "")).trim());
            if (answer.status != 503) return;
            // The connection is kept; nothing may come on it before the next request.
            Rig.Answer next = client.read(8_000);
            if (next.status > 0) extra.put(id, "with no request waiting: " + next.status + " with the id " + next.header("X-Request-Id"));
        } catch (IOException failure) {
            answers.put(id, "no answer");
        }
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"chat\",\"host\":\"desk.example\",\"path-prefix\":\"/chat/\",\"route-type\":\"streaming\",\"timeout-ms\":15000,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"llm\",\"max-attempts\":1,\"public\":true,\"sticky\":true,"
            + "\"stream-resume\":false,\"target-gap-ms\":300}],"
            + "\"services\":[{\"name\":\"llm\",\"health-path\":\"/health\",\"max-connections\":640,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"engine\":{\"slots\":128,\"kv-capacity\":520326,\"token-kv-bytes\":96256,"
            + "\"link-mbps\":550000.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
