import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;
import java.util.regex.*;

/**
 * What the scripts of the second review share: the project's own programs as separate processes, started with the
 * commands and settings templates of the deploy file on loopback addresses, and small stand-ins of the platform, of
 * workers and of clients. Each process and thread ends with {@link #close}.
 */
final class Rig implements AutoCloseable {
    static final long START = System.nanoTime();
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    final Path caseFolder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final List<Unit> units = new CopyOnWriteArrayList<>();
    private final List<Closeable> closeables = new CopyOnWriteArrayList<>();
    final int operatorPort, peerPort, administrationPort, callerPort, readinessPort;
    final Platform platform;
    final List<Unit> controllers = new ArrayList<>();
    final List<Unit> forwarders = new ArrayList<>();

    Rig(Path caseFolder) throws Exception {
        this.caseFolder = caseFolder;
        folder = Files.createTempDirectory("review-2");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        int[] ports = freePorts(6);
        operatorPort = ports[0];
        peerPort = ports[1];
        administrationPort = ports[2];
        callerPort = ports[3];
        readinessPort = ports[4];
        platform = new Platform(this, ports[5]);
        note("trouble=" + trouble);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    /** Writes a line to record.txt. */
    synchronized void note(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", now(), line);
        record.println(text);
    }

    /** Writes a line to record.txt and to the standard output. */
    void say(String line) {
        note(line);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
    }

    static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(Math.max(milliseconds, 0));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------- processes

    /** A process of the system, which stands for one machine. */
    final class Unit {
        final String name;
        final String host;
        private final ProcessBuilder builder;
        volatile Process process;
        /** Whether what the process writes goes through a pipe that this program reads, instead of into a file. */
        boolean isPiped;
        /** Whether the pipe is read at present. */
        volatile boolean isPipeRead = true;

        Unit(String name, String host, List<String> command, Path settings) {
            this.name = name;
            this.host = host;
            builder = new ProcessBuilder(command).directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("HIBISCUSPROXY_BOOT", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        }

        void start() throws IOException {
            if (isPiped) builder.redirectOutput(ProcessBuilder.Redirect.PIPE);
            process = builder.start();
            note("start " + name + " pid " + process.pid());
            if (isPiped) thread("log of " + name, () -> readPipe(process.getInputStream()));
        }

        private void readPipe(InputStream input) {
            byte[] buffer = new byte[4_096];
            try (OutputStream log = Files.newOutputStream(folder.resolve(name + ".log"))) {
                while (true) {
                    while (!isPipeRead) sleep(10);
                    int count = input.read(buffer);
                    if (count < 0) return;
                    log.write(buffer, 0, count);
                }
            } catch (IOException ended) {
                // The process or this program ends.
            }
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Sends the signal to this process only. */
        void signal(String signal) throws Exception {
            note("SIG" + signal + " " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(text);
        if (!matcher.find()) throw new IOException("no role " + role);
        return new ArrayList<>(List.of(matcher.group(1).split(" +")));
    }

    /** Fills in a settings template: values, the section of seeds, and sections of single values. */
    private static String fill(String template, Map<String, String> values, List<String> seeds) {
        Matcher list = Pattern.compile("\\{\\{#seeds}}(.*?)\\{\\{/seeds}}", Pattern.DOTALL).matcher(template);
        StringBuilder text = new StringBuilder();
        while (list.find()) {
            StringBuilder entries = new StringBuilder();
            for (int i = 0; i < seeds.size(); i++) {
                entries.append(list.group(1).replace("{{.}}", seeds.get(i))
                    .replace("{{,}}", i + 1 < seeds.size() ? "," : ""));
            }
            list.appendReplacement(text, Matcher.quoteReplacement(entries.toString()));
        }
        list.appendTail(text);
        Matcher section = Pattern.compile("\\{\\{#([a-z.-]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(text.toString());
        StringBuilder flat = new StringBuilder();
        while (section.find()) {
            String value = values.get(section.group(1));
            String body = value == null ? "" : section.group(2).replace("{{.}}", value);
            section.appendReplacement(flat, Matcher.quoteReplacement(body));
        }
        section.appendTail(flat);
        String result = flat.toString();
        for (Map.Entry<String, String> entry : values.entrySet()) {
            result = result.replace("{{" + entry.getKey() + "}}", entry.getValue());
        }
        return result;
    }

    private Map<String, String> values(String host, String name, String zone) {
        Map<String, String> values = new HashMap<>();
        values.put("node-name", name);
        values.put("ip", host);
        values.put("zone", zone);
        values.put("port-range.0", "" + peerPort);
        values.put("port-range.1", "" + administrationPort);
        values.put("listen.frontend", host + ":" + callerPort);
        values.put("listen.ready", host + ":" + readinessPort);
        values.put("listen.control-plane", host + ":" + operatorPort);
        values.put("cloud-api.address", platform.address());
        values.put("bounds.contact-ms", "3000");
        values.put("bounds.grace-s", "8");
        values.put("bounds.retry-ratio", "0.2");
        values.put("bounds.retry-slack", "62");
        values.put("bounds.retry-window-s", "10");
        values.put("bounds.cap-factor", "2");
        values.put("limits.max-fds", "4100");
        values.put("fault-tolerance.machines", "1");
        values.put("bootstrap", "true");
        return values;
    }

    /** Starts three controllers and {@code count} forwarders, and waits until the first configuration is acknowledged. */
    void startFleet(int count, String configuration) throws Exception {
        startFleet(count, configuration, false);
    }

    void startFleet(int count, String configuration, boolean arePiped) throws Exception {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= 3; i++) seeds.add("127.0.0." + i + ":" + operatorPort);
        for (int i = 1; i <= 3; i++) {
            String host = "127.0.0." + i;
            Map<String, String> values = values(host, "controller-" + i, "zone-" + i);
            values.put("data-dir", Files.createDirectories(folder.resolve("data-" + i)).toString());
            controllers.add(unit("controller", "controller-" + i, host, values, seeds));
        }
        for (int i = 1; i <= count; i++) {
            String host = "127.0.0." + (10 + i);
            forwarders.add(unit("forwarder", "forwarder-" + i, host, values(host, "edge-" + i, "zone-" + ((i - 1) % 3 + 1)), seeds));
        }
        for (Unit unit : controllers) unit.start();
        for (Unit unit : forwarders) {
            unit.isPiped = arePiped;
            unit.start();
        }
        publish(configuration);
        for (Unit unit : forwarders) awaitReady(unit, 20);
    }

    private Unit unit(String role, String name, String host, Map<String, String> values, List<String> seeds) throws IOException {
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, fill(Files.readString(Path.of("deploy/" + role + ".json")), values, seeds));
        Unit unit = new Unit(name, host, command(role), settings);
        units.add(unit);
        return unit;
    }

    /** Publishes a configuration as the operator does: at any controller, again until it is acknowledged. */
    void publish(String configuration) throws Exception {
        long end = System.nanoTime() + 25_000_000_000L;
        int turn = 0;
        while (System.nanoTime() < end) {
            String host = "127.0.0." + (turn++ % 3 + 1);
            for (int hop = 0; hop < 3; hop++) {
                Answer answer = call(host, operatorPort, "PUT", "/hibiscusproxy/config", configuration, 2_000);
                if (answer.status == 200) {
                    note("configuration acknowledged by " + host);
                    return;
                }
                if (answer.status >= 400 && answer.status < 500) {
                    throw new Unplayable("configuration refused: " + answer.status + " " + answer.text());
                }
                if (answer.status != 307) break;
                host = URI.create(answer.header("location")).getHost();
            }
            sleep(150);
        }
        throw new Unplayable("no configuration was acknowledged");
    }

    void awaitReady(Unit unit, int seconds) {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (isReady(unit)) {
                note(unit.name + " is ready");
                return;
            }
            sleep(100);
        }
        throw new Unplayable(unit.name + " is not ready");
    }

    boolean isReady(Unit unit) {
        return call(unit.host, readinessPort, "GET", "/hibiscusproxy/ready", null, 1_000).status == 200;
    }

    @Override
    public void close() {
        for (Unit unit : units) {
            if (unit.isAlive()) unit.process.destroyForcibly();
        }
        for (Closeable closeable : closeables) {
            try {
                closeable.close();
            } catch (IOException ignored) {
            }
        }
        units.clear();
        if ("1".equals(System.getenv("KEEP"))) return;
        try (var paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException | UncheckedIOException ignored) {
        }
    }

    /** The case could not be played. */
    static final class Unplayable extends RuntimeException {
        private static final long serialVersionUID = 1;

        Unplayable(String message) {
            super(message);
        }
    }

    interface Body {
        /** Plays the case; returns whether the rule held. */
        boolean play(Rig rig) throws Exception;
    }

    /** Plays a case and ends the process with 0 if the rule held, 1 if it was broken, 2 if it could not be played. */
    static void main(String caseFolder, Body body) {
        int code = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(caseFolder));
            code = body.play(rig) ? 0 : 1;
            rig.say(code == 0 ? "result: the rule held" : "result: the rule was broken");
        } catch (Throwable failure) {
            if (rig != null) rig.say("result: could not be played: " + failure);
            failure.printStackTrace();
        }
        if (rig != null) rig.close();
        System.exit(code);
    }

    // ---------------------------------------------------------------- HTTP

    /** An answer as a client read it. */
    static final class Answer {
        /** 0 if no complete head was read. */
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        /** Whether the body ended as its framing says. */
        boolean isComplete;
        String failure = "";

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = input.read()) >= 0) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        throw new EOFException("closed within a head or between requests");
    }

    static byte[] readChunks(InputStream input, ByteArrayOutputStream into) throws IOException {
        while (true) {
            int size = Integer.parseInt(readLine(input).split(";")[0].trim(), 16);
            if (size == 0) {
                while (!readLine(input).isEmpty()) {
                }
                return into.toByteArray();
            }
            byte[] chunk = input.readNBytes(size);
            into.write(chunk);
            if (chunk.length < size) throw new EOFException("closed within a chunk");
            readLine(input);
        }
    }

    /** Reads an answer; what was read before a failure is kept in it. */
    static Answer readAnswer(InputStream input) {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String line = readLine(input);
            while (true) {
                answer.status = Integer.parseInt(line.split(" ")[1]);
                answer.headers.clear();
                while (!(line = readLine(input)).isEmpty()) {
                    int colon = line.indexOf(':');
                    answer.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
                }
                if (answer.status >= 200) break;
                line = readLine(input);
            }
            String length = answer.headers.get("Content-Length");
            String encoding = answer.headers.get("Transfer-Encoding");
            if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
                readChunks(input, body);
            } else if (length != null) {
                int size = Integer.parseInt(length);
                byte[] bytes = input.readNBytes(size);
                body.write(bytes);
                if (bytes.length < size) throw new EOFException("closed within a body");
            } else if (answer.status != 204 && answer.status != 304) {
                input.transferTo(body);
            }
            answer.isComplete = true;
        } catch (IOException | RuntimeException failure) {
            answer.failure = failure.toString();
        }
        answer.body = body.toByteArray();
        return answer;
    }

    /** One call on a connection of its own. */
    static Answer call(String host, int port, String method, String path, String body, int milliseconds) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), milliseconds);
            socket.setSoTimeout(milliseconds);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + ":" + port + "\r\nConnection: close\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failure) {
            Answer answer = new Answer();
            answer.failure = failure.toString();
            return answer;
        }
    }

    /** A client's connection to a forwarder, kept for several requests. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private InputStream input;
        private OutputStream output;

        Client(String host, int port) throws IOException {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            input = new BufferedInputStream(socket.getInputStream());
            output = socket.getOutputStream();
        }

        void send(String method, String path, String id, int deadline, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
            String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadline + "\r\n" + headers
                + (method.equals("GET") ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n";
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = Arrays.copyOf(start, start.length + bytes.length);
            System.arraycopy(bytes, 0, all, start.length, bytes.length);
            output.write(all);
            output.flush();
        }

        /** Reads and drops what comes for {@code milliseconds} at most; returns whether a body in chunks has ended. */
        boolean skim(int milliseconds) throws IOException {
            long end = System.nanoTime() + milliseconds * 1_000_000L;
            byte[] bytes = new byte[16_384];
            String tail = "";
            while (System.nanoTime() < end) {
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                int count = input.read(bytes);
                if (count < 0) return false;
                int start = Math.max(0, count - 16);
                tail += new String(bytes, start, count - start, StandardCharsets.ISO_8859_1);
                tail = tail.substring(Math.max(0, tail.length() - 16));
                if (tail.endsWith("\n0\r\n\r\n")) return true;
            }
            return false;
        }

        Answer read(int milliseconds) {
            try {
                socket.setSoTimeout(milliseconds);
            } catch (SocketException ignored) {
            }
            return readAnswer(input);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
            }
        }
    }

    // ---------------------------------------------------------------- platform

    /** The platform's list of workers. */
    static final class Platform implements Closeable {
        private final ServerSocket listener;
        final Map<String, String> entries = Collections.synchronizedMap(new LinkedHashMap<>());
        /** Called with each call's number and the list as it stands; returns the body of the answer. */
        volatile BiFunction<Integer, String, String> filter = (number, body) -> body;
        private final AtomicInteger calls = new AtomicInteger();

        Platform(Rig rig, int port) throws IOException {
            listener = new ServerSocket(port, 128, InetAddress.getByName("127.0.0.1"));
            rig.closeables.add(this);
            thread("platform", () -> accept(listener, this::serve));
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        void put(String id, String service, String address, String zone, int slots, String state, String more) {
            entries.put(id, "{\"id\":\"" + id + "\",\"service\":\"" + service + "\",\"address\":\"" + address
                + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold-remaining-ms\":0" + more + "}");
        }

        String body() {
            synchronized (entries) {
                return "{\"instances\":[" + String.join(",", entries.values()) + "],\"next\":null}";
            }
        }

        private void serve(Socket socket) throws IOException {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                readLine(input);
                while (!readLine(input).isEmpty()) {
                }
                byte[] body = filter.apply(calls.incrementAndGet(), body()).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().write(body);
                socket.getOutputStream().flush();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    interface Serving {
        void serve(Socket socket) throws IOException;
    }

    private static void accept(ServerSocket listener, Serving serving) {
        while (true) {
            Socket socket;
            try {
                socket = listener.accept();
                socket.setTcpNoDelay(true);
            } catch (IOException closed) {
                return;
            }
            thread("serve", () -> {
                try (socket) {
                    serving.serve(socket);
                } catch (IOException | RuntimeException ended) {
                    // The caller has gone.
                }
            });
        }
    }

    // ---------------------------------------------------------------- workers

    /** A request as a worker read it. */
    static final class Request {
        String method, target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body;
        double at;

        String id() {
            return headers.getOrDefault("X-Request-Id", "");
        }
    }

    interface Handler {
        /** Answers a request; throws or closes the socket to break off. */
        void handle(Worker worker, Request request, Socket socket, OutputStream output) throws IOException;
    }

    /** A worker. Each request that it runs is noted. */
    static final class Worker implements Closeable {
        final Rig rig;
        final String id;
        final ServerSocket listener;
        volatile Handler handler;
        /** Ids of requests that ran here, in order. */
        final List<Request> ran = Collections.synchronizedList(new ArrayList<>());
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Worker(Rig rig, String id, Handler handler) throws IOException {
            this.rig = rig;
            this.id = id;
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            rig.closeables.add(this);
            thread("worker " + id, () -> accept(listener, this::serve));
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Ends as a process that crashes does: its port is closed and all connections are reset. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets) reset(socket);
        }

        private void serve(Socket socket) throws IOException {
            sockets.add(socket);
            try {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = new Request();
                    String[] start = readLine(input).split(" ");
                    request.method = start[0];
                    request.target = start[1];
                    String line;
                    while (!(line = readLine(input)).isEmpty()) {
                        int colon = line.indexOf(':');
                        request.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
                    }
                    String length = request.headers.get("Content-Length");
                    request.body = length != null ? input.readNBytes(Integer.parseInt(length))
                        : request.headers.containsKey("Transfer-Encoding") ? readChunks(input, new ByteArrayOutputStream())
                        : new byte[0];
                    request.at = now();
                    String expected = request.headers.get("X-Expect-Instance");
                    if (expected != null && !expected.equals(id)) {
                        answer(socket.getOutputStream(), request, 421, "", "other instance");
                        continue;
                    }
                    ran.add(request);
                    handler.handle(this, request, socket, socket.getOutputStream());
                    request.body = null;
                    if (socket.isClosed()) return;
                }
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) socket.close();
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Head of a worker's answer, with its signature. */
    static String head(Request request, int status, String headers) {
        return "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + request.id() + "\r\nX-Response-Seal: seal-" + request.id()
            + "\r\nKeep-Alive: timeout=10\r\n" + headers;
    }

    static void answer(OutputStream output, Request request, int status, String headers, String body) throws IOException {
        output.write(bytes(head(request, status, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        output.flush();
    }

    static void chunk(OutputStream output, String text) throws IOException {
        output.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        output.flush();
    }

    static String event(int number, String data) {
        return "id: " + number + "\ndata: " + data + "\n\n";
    }

    /** Runs of each id at all {@code workers}. */
    static Map<String, Integer> runs(Collection<Worker> workers) {
        Map<String, Integer> runs = new HashMap<>();
        for (Worker worker : workers) {
            synchronized (worker.ran) {
                for (Request request : worker.ran) runs.merge(request.id(), 1, Integer::sum);
            }
        }
        return runs;
    }
}
