package review;

/** The configuration of the small deployment, as an operator writes it. Stateless. */
final class Deployment {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String PLAIN = "wuno96b";
    static final int MAX_BODY_BYTES = 4_194_304;

    private Deployment() {}

    /** A route to the plain service. */
    static String route(String prefix, String kind, long timeoutMillis, int maxAttempts) {
        return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"ficu95.example\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
                + ",\"targetLatencyMs\":386,\"priority\":2,\"service\":\"" + PLAIN + "\",\"maxAttempts\":" + maxAttempts
                + ",\"allowAnonymous\":false,\"sessionAffinity\":false,\"streamResumption\":false}";
    }

    /** A manifest with these routes, with the limits that the pages show. */
    static String manifest(int version, String... routes) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
                + PLAIN
                + "\",\"healthCheckPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + MAX_BODY_BYTES
                + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }
}
