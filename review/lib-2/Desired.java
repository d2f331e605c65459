import java.util.ArrayList;
import java.util.List;

/** Desired states of a small deployment, as the operator writes them to the store. */
final class Desired {

  static final String HOST = "ficu95.example";

  private final int version;
  private final List<String> routes = new ArrayList<>();

  Desired(int version) {
    this.version = version;
  }

  Desired streaming(String prefix, String service, int attempts, int timeoutMillis) {
    return route(
        prefix,
        "streaming",
        "\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\""
            + service + "\",\"MaxAttempts\":" + attempts
            + ",\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":250");
  }

  Desired streamingOnce(String prefix, String service, int timeoutMillis) {
    return route(
        prefix,
        "streaming",
        "\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\""
            + service + "\",\"MaxAttempts\":1,\"Sticky\":true,\"Resumable\":false,"
            + "\"GapAimMs\":250");
  }

  Desired batch(String prefix, String service, int timeoutMillis) {
    return route(
        prefix,
        "batch",
        "\"TimeoutMs\":" + timeoutMillis + ",\"TargetLatencyMs\":500,\"Priority\":2,\"Service\":\""
            + service + "\",\"MaxAttempts\":3,\"Sticky\":true,\"Resumable\":true,"
            + "\"GapAimMs\":250,\"CompletionTargetMs\":18000,\"RetentionS\":60");
  }

  private Desired route(String prefix, String kind, String fields) {
    routes.add(
        "{\"Name\":\"r-" + prefix.replace("/", "") + "\",\"Host\":\"" + HOST
            + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\"" + kind + "\"," + fields + "}");
    return this;
  }

  /** Writes the desired state; the store's answer is its ack. */
  void write(Store store) {
    store.put(
        "keyed.op",
        "config",
        "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
            + "],\"Services\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\","
            + "\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,"
            + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
  }
}
