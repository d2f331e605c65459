import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the platform's program, started with the words of the deploy file. */
final class Gateway implements AutoCloseable {

  private static final String SETTINGS =
      """
      {"Node":"%s","Role":"gateway","MachineClass":"front","Serves":["front"],"Ip":"127.0.0.1",
       "Zone":"%s","Region":"viti-levu",
       "Zones":{"lautoka-a":"viti-levu","nadi-b":"viti-levu","suva-c":"viti-levu"},
       "Listen":{"Front":"127.0.0.1:%d","Ready":"127.0.0.1:%d"},
       "InternalPorts":[%d,%d],"Seeds":[],"Bootstrap":true,"ToleranceCounted":false,
       "Limits":{"CpuShare":0.75,"CpuCores":2,"MemoryMb":450,"FileDescriptors":8200,
        "LinkMbps":1000.0,"DiskMb":0},
       "DataDir":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatMs":1200,
       "Contracts":["base","drain","config","cost","recover","batch","stream","engine","platform"],
       "FaultTolerance":{"Machines":1,"Zones":1,"Regions":0},
       "Bounds":{"SeedLagS":3,"AddressReuseS":2,"StableWindowMs":3000,"AckMs":4000,"CatchUpS":4.4,
        "DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,
        "PartitionStretchMs":5000,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"FinishS":18,
        "StatusS":120,"CancelMs":3000,"SettleMs":1000,"QuotaOver":0.1},
       "Platform":{"Address":"127.0.0.1:%d","form":"log","WritesPerS":800,"ReadsPerS":2000,
        "parts":12,"AppendMs":2.0,"PartitionMbS":20.0,"ReadMbS":80.0,"RecordBytes":262144,
        "CallBytes":2097152,"RetentionS":300,"PartMb":200,"TtlMinMs":1000}}
      """;

  private final Trial trial;
  private final String name;
  private final Path settings;
  private final Path output;
  private final int front;
  private final int ready;
  private Process process;
  private double startedAt;

  Gateway(Trial trial, String name, String zone, int storePort) throws IOException {
    this.trial = trial;
    this.name = name;
    this.settings = trial.folder().resolve(name + ".json");
    this.output = trial.folder().resolve(name + ".out");
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket frontSocket = new ServerSocket(0, 1, loopback);
        ServerSocket readySocket = new ServerSocket(0, 1, loopback)) {
      front = frontSocket.getLocalPort();
      ready = readySocket.getLocalPort();
      int internal = internalPort(loopback);
      Files.writeString(
          settings,
          String.format(
              Locale.ROOT, SETTINGS, name, zone, front, ready, internal, internal + 1, storePort));
    }
    trial.opened(this);
    start();
  }

  /** Returns a port that is free for TCP and UDP, and whose successor is free as well. */
  private static int internalPort(InetAddress loopback) throws IOException {
    for (int tries = 0; tries < 200; tries++) {
      int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
      try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
          ServerSocket next = new ServerSocket(port + 1, 1, loopback);
          DatagramSocket udp = new DatagramSocket(port, loopback)) {
        return port;
      } catch (BindException e) {
        // Another process has the port.
      }
    }
    throw new IOException("no free ports");
  }

  /** Starts the process with the words of "run" in the deploy file, from the repository's root. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(words());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("HAWTHORNLB_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = builder.start();
    startedAt = trial.seconds();
    trial.log("gateway " + name + ": started, front " + front);
  }

  private static List<String> words() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
      if (line.startsWith("run = \"")) {
        return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file has no line that starts with run");
  }

  /** Waits until the process says that it is ready. */
  void awaitReady() throws Exception {
    for (int tries = 0; tries < 300; tries++) {
      Client.Answer answer = Client.call(ready, "GET", "/ready", Map.of("Host", "r"), null, 1_000);
      if (answer.status() == 200) {
        trial.log("gateway " + name + ": ready");
        return;
      }
      Trial.sleep(50);
    }
    throw new IOException(name + " is not ready: " + String.join("\n", Files.readAllLines(output)));
  }

  /** Kills the process and waits for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    trial.log("gateway " + name + ": killed");
  }

  String name() {
    return name;
  }

  int front() {
    return front;
  }

  /** Returns the time, in seconds of the run, at which the process was started last. */
  double startedAt() {
    return startedAt;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Returns the log lines of the process that contain a text. */
  List<String> lines(String text) throws IOException {
    return Files.readAllLines(output).stream().filter(line -> line.contains(text)).toList();
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), front);
  }

  @Override
  public void close() throws InterruptedException {
    process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
  }
}
