import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Starts the controllers and forwarders of a small deployment as separate processes, with the
 * commands and settings templates of the deploy file, and a stand-in of the platform's list of
 * workers. All addresses are loopback addresses; every process has its own.
 */
final class Rig {
    /** Exit codes of a script. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final String KEY = "key-volunteers";
    static final String TENANT = "volunteers";
    static final String HOST = "desk.example";

    /** False if the script does the same without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final Duration START_LIMIT = Duration.ofSeconds(40);
    private static final int LIST_LAG_MILLISECONDS = 800;

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final List<AutoCloseable> standIns = new CopyOnWriteArrayList<>();
    private final int network = 2 + (int) (ProcessHandle.current().pid() % 250);
    private int lastHost = 0;
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int controlPort = freePort();
    private final int firstPeerPort = freePort();
    private final int lastPeerPort = freePort();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Machines with a disk that may be lost at once, as the settings of controllers say. */
    int toleratedLosses = 1;

    final List<String> controllers = new ArrayList<>();
    final List<String> forwarders = new ArrayList<>();
    final PlatformList list;

    Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        list = new PlatformList(nextHost());
        standIns.add(list);
        log("disruption: " + TROUBLE);
    }

    /** A script's scenario; returns its exit code. */
    interface Scenario {
        int run(Rig rig) throws Exception;
    }

    /** Runs [scenario] for the case in the folder of the first argument, and exits. */
    static void main(String[] arguments, Scenario scenario) throws Exception {
        Rig rig = new Rig(Path.of(arguments[0]).toAbsolutePath());
        int code;
        try {
            code = scenario.run(rig);
        } catch (Exception failure) {
            rig.log("could not run: " + failure);
            failure.printStackTrace();
            code = COULD_NOT_RUN;
        }
        rig.log("exit " + code);
        rig.close();
        System.exit(code);
    }

    /** Writes [line] with the time since the start to the record and to standard output. */
    synchronized void log(String line) {
        long milliseconds = (System.nanoTime() - startedAt) / 1_000_000;
        String text = String.format("%7d ms  %s", milliseconds, line);
        record.println(text);
        System.out.println(text);
    }

    /** Returns a loopback address that no other part of this script uses. */
    String nextHost() {
        lastHost += 1;
        return "127." + network + "." + lastHost / 200 + "." + (10 + lastHost % 200);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    void add(AutoCloseable standIn) {
        standIns.add(standIn);
    }

    /** Starts controllers and forwarders, all at once, and returns when they listen. */
    void start(int controllerCount, int forwarderCount) throws Exception {
        for (int index = 0; index < controllerCount; index++) controllers.add(nextHost());
        for (int index = 0; index < forwarderCount; index++) forwarders.add(nextHost());
        for (int index = 0; index < controllerCount; index++) startController(index, true);
        for (int index = 0; index < forwarderCount; index++) startForwarder(index);
        log("started " + controllers.size() + " controllers and " + forwarders.size()
                + " forwarders");
    }

    void startController(int index, boolean isFirstStart) throws IOException {
        startController(index, isFirstStart, folder.resolve("data-" + index));
    }

    /** Starts a controller that has lost its disk: at its old address, with an empty folder. */
    void startControllerWithEmptyDisk(int index) throws IOException {
        startController(index, false, folder.resolve("new-data-" + index));
    }

    private void startController(int index, boolean isFirstStart, Path data) throws IOException {
        String host = controllers.get(index);
        Files.createDirectories(data);
        Map<String, String> values = values("controller-" + index, host);
        values.put("bootstrap", String.valueOf(isFirstStart));
        values.put("data-dir", data.toString());
        launch("controller-" + index, "controller", "deploy/controller.json", values);
    }

    void startForwarder(int index) throws IOException {
        Map<String, String> values = values("forwarder-" + index, forwarders.get(index));
        launch("forwarder-" + index, "forwarder", "deploy/forwarder.json", values);
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interruption) {
            throw new IllegalStateException(interruption);
        }
    }

    private Map<String, String> values(String name, String host) {
        Map<String, String> values = new ConcurrentHashMap<>();
        values.put("node-name", name);
        values.put("zone", zone(Integer.parseInt(name.substring(name.lastIndexOf('-') + 1))));
        values.put("ip", host);
        values.put("port-range.0", String.valueOf(firstPeerPort));
        values.put("port-range.1", String.valueOf(lastPeerPort));
        values.put("listen.frontend", host + ":" + frontPort);
        values.put("listen.ready", host + ":" + readyPort);
        values.put("listen.control-plane", host + ":" + controlPort);
        values.put("cloud-api.address", list.address());
        values.put("bounds.contact-ms", "3000");
        values.put("bounds.grace-s", "8");
        values.put("bounds.retry-ratio", "0.2");
        values.put("bounds.retry-slack", "62");
        values.put("bounds.retry-window-s", "10");
        values.put("bounds.cap-factor", "2");
        values.put("fault-tolerance.machines", String.valueOf(toleratedLosses));
        return values;
    }

    static String zone(int index) {
        return "zone-" + (char) ('a' + index % 3);
    }

    /** Starts the command of [role] with the settings that [template] yields for [values]. */
    private void launch(String name, String role, String template, Map<String, String> values)
            throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, render(Files.readString(root.resolve(template)), values));
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HIBISCUSPROXY_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        processes.put(name, builder.start());
    }

    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile(
                "\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!matcher.find()) throw new IOException("no role " + role + " in the deploy file");
        return List.of(matcher.group(1).split(" "));
    }

    private String render(String template, Map<String, String> values) {
        StringBuilder seeds = new StringBuilder();
        Matcher section = Pattern.compile("\\{\\{#seeds\\}\\}(.*?)\\{\\{/seeds\\}\\}",
                Pattern.DOTALL).matcher(template);
        String text = section.replaceAll(match -> {
            seeds.setLength(0);
            int count = Math.min(3, controllers.size());
            for (int index = 0; index < count; index++) {
                String seed = controllers.get(index) + ":" + controlPort;
                seeds.append(match.group(1).replace("{{.}}", seed)
                        .replace("{{,}}", index < count - 1 ? "," : ""));
            }
            return Matcher.quoteReplacement(seeds.toString());
        });
        return Pattern.compile("\\{\\{([a-z0-9.-]+)\\}\\}").matcher(text)
                .replaceAll(match -> Matcher.quoteReplacement(values.get(match.group(1))));
    }

    private Process process(String name) {
        return processes.get(name);
    }

    /** Kills a process that this script started. */
    void kill(String name) {
        log("SIGKILL to " + name);
        process(name).destroyForcibly();
    }

    InetSocketAddress front(int forwarder) {
        return new InetSocketAddress(forwarders.get(forwarder), frontPort);
    }

    private String controlAddress(int controller) {
        return controllers.get(controller) + ":" + controlPort;
    }

    /** An answer; [status] is 0 if none came. */
    record Answer(int status, String body, String location) {}

    private Answer send(String address, String method, String body, int milliseconds) {
        try {
            HttpResponse<String> response = http.send(
                    HttpRequest.newBuilder(URI.create(address))
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .header("Content-Type", "application/json")
                            .timeout(Duration.ofMillis(milliseconds))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            String location = response.headers().firstValue("Location").orElse("");
            return new Answer(response.statusCode(), response.body(), location);
        } catch (IOException failure) {
            return new Answer(0, failure.toString(), "");
        } catch (InterruptedException interruption) {
            throw new IllegalStateException(interruption);
        }
    }

    /**
     * One order as the operator sends it: to one controller, following redirects twice, with a
     * second for each answer.
     */
    Answer order(int controller, String method, String path, String body) {
        Answer answer =
                send("http://" + controlAddress(controller) + path, method, body, 1_000);
        for (int hop = 0; hop < 2 && answer.status() == 307; hop++) {
            answer = send(answer.location(), method, body, 1_000);
        }
        return answer;
    }

    /** Publishes [document], at one controller after the other until it is acknowledged. */
    void publish(String document) throws Exception {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        for (int attempt = 0; System.nanoTime() < end; attempt++) {
            Answer answer = order(attempt % controllers.size(), "PUT", "/hibiscusproxy/config",
                    document);
            if (answer.status() == 200) return;
            if (answer.status() >= 400 && answer.status() < 500) {
                throw new IOException("configuration refused: " + answer.body());
            }
            Thread.sleep(100);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    /** Waits until every forwarder says that it is ready. */
    void awaitReady() throws Exception {
        for (int index = 0; index < forwarders.size(); index++) awaitReady(index);
        log("all forwarders are ready");
    }

    void awaitReady(int forwarder) throws Exception {
        long end = System.nanoTime() + START_LIMIT.toNanos();
        while (System.nanoTime() < end) {
            if (isReady(forwarder)) return;
            Thread.sleep(50);
        }
        throw new IOException("forwarder " + forwarder + " is not ready");
    }

    boolean isReady(int forwarder) {
        String address = "http://" + forwarders.get(forwarder) + ":" + readyPort
                + "/hibiscusproxy/ready";
        return send(address, "GET", "", 1_000).status() == 200;
    }

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor();
            } catch (InterruptedException interruption) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void close() throws Exception {
        killAll();
        for (AutoCloseable standIn : standIns) standIn.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs: " + folder);
        } else {
            deleteFolder();
        }
        record.close();
    }

    private void deleteFolder() throws IOException {
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) Files.delete(path);
        }
    }

    /** Stand-in of the platform's list of workers; a change shows after the stated lag. */
    final class PlatformList implements AutoCloseable {
        private final HttpServer server;
        private final AtomicReference<List<String>> shown = new AtomicReference<>(List.of());

        PlatformList(String host) throws IOException {
            server = HttpServer.create(
                    new InetSocketAddress(InetAddress.getByName(host), freePort()), 0);
            server.createContext("/instances", exchange -> {
                String page = "{\"instances\":[" + String.join(",", shown.get())
                        + "],\"next\":null}";
                byte[] bytes = page.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(200, bytes.length);
                exchange.getResponseBody().write(bytes);
                exchange.close();
            });
            server.start();
        }

        String address() {
            return server.getAddress().getAddress().getHostAddress() + ":"
                    + server.getAddress().getPort();
        }

        /** Shows [entries] at once, as before the start of the system. */
        void showNow(List<String> entries) {
            shown.set(List.copyOf(entries));
        }

        /** Shows [entries] after the lag. */
        void show(List<String> entries) {
            List<String> copy = List.copyOf(entries);
            Thread thread = new Thread(() -> {
                try {
                    Thread.sleep(LIST_LAG_MILLISECONDS);
                } catch (InterruptedException interruption) {
                    return;
                }
                shown.set(copy);
                log("the list shows " + copy);
            });
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }
}
