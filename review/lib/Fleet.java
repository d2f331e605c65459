package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The gateways of a case, and the temporary folder with their settings and logs. */
public final class Fleet implements AutoCloseable {

  /** Path prefix of the batch route. */
  public static final String PATH = "/pule252/";

  /** Longest time of a case; it leaves some seconds to end all processes. */
  private static final long MAX_MILLIS = 112_000;

  private static final String BATCH_ROUTE =
      """
      {"Name":"r-lots","Host":"%s","PathPrefix":"%s","Kind":"batch","TimeoutMs":15000,
       "TargetLatencyMs":500,"Priority":2,"Service":"huvo11a","MaxAttempts":3,"Sticky":true,
       "CompletionTargetMs":18000,"RetentionS":110},
      """;

  private static final String CONFIG =
      """
      {"Version":%d,"Routes":[%s{"Name":"r-chat","Host":"%s","PathPrefix":"/lohu930/",
       "Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":300,"Priority":0,"Service":"huvo11a",
       "MaxAttempts":2,"Sticky":true,"Resumable":true,"GapAimMs":250}],
       "Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConnections":370,"Protocol":"h1",
       "Tls":false}],
       "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,
       "IdleTimeoutMs":15000}}
      """;

  private final Store store;
  private final Path folder;
  private final List<Gateway> started = new ArrayList<>();

  public Fleet(Store store) throws IOException {
    this.store = store;
    this.folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    Daemon.start(Fleet::endInTime);
  }

  /** Ends a case that takes too long, as one that could not run. */
  private static void endInTime() {
    try {
      Thread.sleep(MAX_MILLIS);
      System.err.println("The case took too long");
      System.exit(2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a desired state with a batch route and a route of streams on the same host. */
  public void configure(int version) {
    configure(version, String.format(BATCH_ROUTE, Client.HOST, PATH));
  }

  /** Writes a desired state without the batch route. */
  public void removeBatchRoute(int version) {
    configure(version, "");
  }

  private void configure(int version, String batchRoute) {
    store.put("keyed.op", "config", String.format(CONFIG, version, batchRoute, Client.HOST));
  }

  /** Starts a gateway on a machine like those of the small sites. */
  public Gateway start(String name, String zone) throws IOException {
    return start(name, zone, 0.75, 2);
  }

  public Gateway start(String name, String zone, double cpuShare, int cpuCores)
      throws IOException {
    Gateway gateway = new Gateway(name, zone, cpuShare, cpuCores, store, folder);
    synchronized (started) {
      started.add(gateway);
    }
    return gateway;
  }

  /** Waits until all gateways are ready; returns whether they are. */
  public static boolean awaitReady(List<Gateway> gateways, int seconds)
      throws InterruptedException {
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    while (System.nanoTime() < end) {
      if (gateways.stream().allMatch(Gateway::ready)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  public Path folder() {
    return folder;
  }

  /** Ends all processes and deletes the folder, unless KEEP is set. */
  @Override
  public void close() {
    synchronized (started) {
      started.forEach(Gateway::close);
      started.clear();
    }
    if (System.getenv("KEEP") == null && Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      } catch (IOException e) {
        System.err.println("The temporary folder remains: " + e);
      }
    }
  }
}
