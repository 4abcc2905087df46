import java.util.List;

/** Configurations that the operator publishes, in the platform's format. */
final class Configurations {
    private Configurations() {}

    static String route(String name, String type, int timeout, int objective, String service,
            int attempts, boolean resume) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"" + Rig.HOST + "\",\"path-prefix\":\"/"
                + name + "/\",\"route-type\":\"" + type + "\",\"timeout-ms\":" + timeout
                + ",\"target-latency-ms\":" + objective + ",\"priority\":1,\"service\":\""
                + service + "\",\"max-attempts\":" + attempts + ",\"public\":false,\"sticky\":"
                + type.equals("streaming") + ",\"stream-resume\":" + resume
                + ",\"target-gap-ms\":300}";
    }

    static String plain(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-connections\":130,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}";
    }

    static String engine(String name) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/health\",\"max-connections\":320,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":20.0,"
                + "\"engine\":{\"slots\":48,\"kv-capacity\":451904,\"token-kv-bytes\":192512,"
                + "\"link-mbps\":740000.0,\"models\":[{\"name\":\"m\"}]}}";
    }

    static String document(int version, List<String> services, List<String> routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[" + String.join(",", services) + "],\"limits\":{"
                + "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\""
                + Rig.TENANT + "\",\"api-keys\":[\"" + Rig.KEY + "\"]}]}";
    }
}
