import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The last worker of an old software version crashes and is back under its id with the new version,
 * while the list still shows it as before. Broken if clients' streams hold events of both versions.
 */
final class RestartedVersion {
    private static final int STREAMS = 20;
    private static final int EVENTS = 60;
    private static final int EVENT_MILLISECONDS = 50;
    private static final int DOWN_MILLISECONDS = 700;
    private static final int DEADLINE = 15_000;
    private static final int TRIES = 4;

    private RestartedVersion() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, RestartedVersion::run);
    }

    private static int run(Rig rig) throws Exception {
        Worker old = new Worker(rig, "i-1", "model", "zone-a", events("v1"));
        Worker other = new Worker(rig, "i-2", "model", "zone-b", events("v2"));
        long born = System.currentTimeMillis();
        rig.list.showNow(List.of(entry(old, "v1", born), entry(other, "v2", born)));
        rig.start(3, 2);
        rig.publish(Configurations.document(1, List.of(Configurations.engine("model")),
                List.of(Configurations.route(
                        "chat", "streaming", DEADLINE, 300, "model", 2, true))));
        rig.awaitReady();
        Rig.pause(3_000);

        Map<String, String> joined = new ConcurrentHashMap<>();
        Traffic traffic = new Traffic();
        for (int index = 0; index < STREAMS; index++) {
            int number = index;
            traffic.start(() -> followStream(rig, number, joined));
        }
        Rig.pause(800);
        if (Rig.TROUBLE) {
            rig.log("worker i-1 crashes");
            old.crash();
            Rig.pause(DOWN_MILLISECONDS);
            old.setScript(events("v2"));
            old.listen();
            rig.log("worker i-1 is back with v2");
            rig.list.show(List.of(entry(old, "v2", System.currentTimeMillis()),
                    entry(other, "v2", born)));
        }
        traffic.join();
        rig.log("streams with events of two versions: " + joined.size() + " " + joined);
        return joined.size() > 2 ? Rig.BROKEN : Rig.HELD;
    }

    private static String entry(Worker worker, String version, long born) {
        return worker.entry(version, "ready", 48).replaceFirst("}$", ",\"born\":" + born + "}");
    }

    /** Writes events that name [version], from the one after the last that the client has. */
    private static Worker.Script events(String version) {
        return exchange -> {
            String last = exchange.request.headers().get("last-event-id");
            exchange.beginStream();
            for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS;
                    event++) {
                Rig.pause(EVENT_MILLISECONDS);
                exchange.event(event, version);
            }
            exchange.endStream();
        };
    }

    /** Asks for a stream and, if it breaks off, takes it up at the other forwarder. */
    private static void followStream(Rig rig, int number, Map<String, String> joined) {
        String prompt = "X-Model: m\r\nX-Token-Counts: 460,240\r\nX-Prompt-Prefix: a" + number
                + ":400,b" + number + ":60\r\n";
        long end = System.nanoTime() + DEADLINE * 1_000_000L;
        StringBuilder text = new StringBuilder();
        String first = null;
        for (int attempt = 0; attempt < TRIES; attempt++) {
            String resume = first == null
                    ? ""
                    : "Last-Event-Id: " + lastEvent(text) + "\r\nResumes: " + first + "\r\n";
            int left = (int) ((end - System.nanoTime()) / 1_000_000);
            Client.Result result;
            try (Client client = new Client(rig.front((number + attempt) % 2))) {
                result = client.request(
                        "POST", "/chat/a", prompt + resume, "question".getBytes(), left);
            }
            if (result.status() == 200) text.append(result.body());
            if (first == null && result.body().contains("id:")) first = result.id();
            rig.log("stream " + number + " try " + attempt + ": " + result.status() + " "
                    + result.end() + ", events of " + versions(result.body())
                    + ", Retry-After " + result.headers().get("retry-after"));
            if (result.status() == 200 && result.isComplete()) break;
            if (result.headers().containsKey("x-hibiscus-stream")) break;
            Rig.pause(retryAfter(result));
        }
        if (versions(text.toString()).size() > 1) joined.put("stream " + number, first);
    }

    private static List<String> versions(String text) {
        List<String> found = new ArrayList<>();
        for (String version : List.of("v1", "v2")) {
            if (text.contains("data: " + version)) found.add(version);
        }
        return found;
    }

    private static String lastEvent(CharSequence text) {
        Matcher matcher = Pattern.compile("id: (\\d+)\n").matcher(text);
        String last = "0";
        while (matcher.find()) last = matcher.group(1);
        return last;
    }

    private static long retryAfter(Client.Result result) {
        String seconds = result.headers().get("retry-after");
        return seconds == null ? 50 : (long) (Double.parseDouble(seconds) * 1_000);
    }
}
