import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Workers answer streams that may be resumed with the length of the answer in its head. One of four workers crashes now and
 * then and comes back. Each client takes streams one after the other on a kept connection.
 *
 * The rule is broken if a stream is complete for its client before its last event, or if a client gets bytes that are no
 * answer after it.
 */
public final class ResumedLength {
    private static final int EVENTS = 30, CLIENTS = 20, CRASHES = 5;

    public static void main(String[] arguments) {
        Rig.main(arguments[0], ResumedLength::play);
    }

    private static boolean play(Rig rig) throws Exception {
        List<Rig.Worker> workers = new CopyOnWriteArrayList<>();
        for (int i = 1; i <= 4; i++) start(rig, workers, "llm-" + i);
        rig.startFleet(1, configuration());
        Rig.sleep(4_000);
        Rig.Unit forwarder = rig.forwarders.get(0);
        AtomicBoolean isOver = new AtomicBoolean();
        Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
        Queue<String> faults = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Rig.thread("chats", () -> chats(rig, forwarder, client, isOver, outcomes, faults)));
        }
        for (int crash = 1; crash <= CRASHES; crash++) {
            Rig.sleep(5_000);
            if (!rig.trouble) continue;
            Rig.Worker worker = workers.get(workers.size() - 1);
            rig.note(worker.id + " crashes");
            worker.crash();
            Rig.sleep(2_000);
            rig.platform.entries.remove(worker.id);
            start(rig, workers, "llm-" + (4 + crash));
        }
        Rig.sleep(5_000);
        isOver.set(true);
        for (Thread client : clients) client.join(10_000);
        faults.forEach(rig::note);
        rig.say("streams by outcome: " + outcomes);
        rig.say("streams that were complete before their last event, or followed by bytes that are no answer: " + faults.size());
        return faults.isEmpty();
    }

    private static void start(Rig rig, List<Rig.Worker> workers, String id) throws IOException {
        Rig.Worker worker = new Rig.Worker(rig, id, (self, request, socket, output) -> stream(self, request, output));
        workers.add(worker);
        rig.platform.put(id, "llm", worker.address(), "zone-1", 128, "ready", "");
    }

    /** Writes the events behind the last one that the caller has. Each run words its answer anew. */
    private static void stream(Rig.Worker worker, Rig.Request request, OutputStream output) throws IOException {
        int last = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0").trim());
        Random random = new Random(Objects.hash(worker.id, request.id()));
        StringBuilder text = new StringBuilder();
        List<String> events = new ArrayList<>();
        for (int number = last + 1; number <= EVENTS; number++) {
            String event = Rig.event(number, request.id() + " of " + EVENTS + " " + "word ".repeat(1 + random.nextInt(8)).trim());
            events.add(event);
            text.append(event);
        }
        output.write(Rig.bytes(Rig.head(request, 200, "Content-Type: text/event-stream\r\nContent-Length: " + text.length() + "\r\n\r\n")));
        for (String event : events) {
            Rig.sleep(40);
            output.write(Rig.bytes(event));
            output.flush();
        }
    }

    private static void chats(
        Rig rig, Rig.Unit forwarder, int client, AtomicBoolean isOver, Map<String, AtomicInteger> outcomes, Queue<String> faults
    ) {
        Rig.Client connection = null;
        for (int n = 0; !isOver.get(); n++) {
            String id = "chat-" + client + "-" + n;
            String outcome;
            try {
                if (connection == null) connection = new Rig.Client(forwarder.host, rig.callerPort);
                String prompt = "X-Model: m\r\nX-Token-Counts: 713,70\r\nX-Prompt-Prefix: c" + client % 5 + ":603,q"
                    + client + "x" + n + ":110\r\n";
                connection.send("POST", "/chat/x", id, 5_000, prompt, "hello");
                Rig.Answer answer = connection.read(6_000);
                int events = 0;
                while (answer.text().contains("id: " + (events + 1) + "\n")) events++;
                boolean hasAll = events == EVENTS && answer.text().endsWith("\n\n");
                outcome = answer.status + (answer.isComplete ? " complete" : " not ended") + (answer.status != 200 ? "" : hasAll ? ", all events" : ", events missing");
                if (answer.status == 200 && answer.isComplete && !hasAll) {
                    String end = answer.text().substring(Math.max(0, answer.text().length() - 60)).replace("\n", "|");
                    faults.add("ORDER " + id + " is complete by its length " + answer.header("Content-Length") + " after " + events + " events, ends with " + end);
                }
                if (answer.status == 0 && !answer.failure.contains("closed") && !answer.failure.contains("timed out") && !answer.failure.contains("reset")) {
                    faults.add("MIXED " + id + " got bytes that are no answer: " + answer.failure);
                }
                if (!answer.isComplete) throw new IOException(answer.failure);
            } catch (IOException failure) {
                outcome = "no whole answer: " + failure.getMessage();
                if (connection != null) connection.close();
                connection = null;
            }
            outcomes.computeIfAbsent(outcome, o -> new AtomicInteger()).incrementAndGet();
            Rig.sleep(100);
        }
        if (connection != null) connection.close();
    }

    private static String configuration() {
        return "{\"version\":7,\"routes\":["
            + "{\"name\":\"chat\",\"host\":\"desk.example\",\"path-prefix\":\"/chat/\",\"route-type\":\"streaming\",\"timeout-ms\":5000,"
            + "\"target-latency-ms\":300,\"priority\":2,\"service\":\"llm\",\"max-attempts\":2,\"public\":true,\"sticky\":true,"
            + "\"stream-resume\":true,\"target-gap-ms\":300}],"
            + "\"services\":[{\"name\":\"llm\",\"health-path\":\"/health\",\"max-connections\":640,\"protocol\":\"h1\",\"tls\":false,"
            + "\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"engine\":{\"slots\":128,\"kv-capacity\":520326,\"token-kv-bytes\":96256,"
            + "\"link-mbps\":550000.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
