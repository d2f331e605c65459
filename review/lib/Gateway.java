package review;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the platform's program, started with the command of the deploy file. */
public final class Gateway implements AutoCloseable {

  private static final String SETTINGS =
      """
      {"Node":"%1$s","Role":"gateway","MachineClass":"front","Serves":["front"],
       "Ip":"127.0.0.1","Zone":"%2$s","Region":"viti-levu",
       "Zones":{"lautoka-a":"viti-levu","nadi-b":"viti-levu"},
       "Listen":{"Front":"127.0.0.1:%3$d","Ready":"127.0.0.1:%4$d"},
       "InternalPorts":[%5$d,%6$d],"Seeds":[],"Bootstrap":true,"ToleranceCounted":false,
       "Limits":{"CpuShare":%7$s,"CpuCores":%9$d,"MemoryMb":450,"FileDescriptors":8200,
        "LinkMbps":1000.0,"DiskMb":0},
       "DataDir":null,"Discovery":"platform","Entry":"virtual_ip","HeartbeatMs":1200,
       "Contracts":["base","drain","config","cost","recover","batch","stream","engine","platform"],
       "FaultTolerance":{"Machines":1,"Zones":1,"Regions":0},
       "Bounds":{"SeedLagS":3,"AddressReuseS":2,"StableWindowMs":3000,"AckMs":4000,"CatchUpS":4.4,
        "DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,
        "PartitionStretchMs":5000,"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"FinishS":18,
        "StatusS":120,"CancelMs":3000,"SettleMs":1000,"QuotaOver":0.1},
       "Platform":{"Address":"127.0.0.1:%8$d","form":"log","WritesPerS":800,"ReadsPerS":2000,
        "parts":12,"AppendMs":2.0,"PartitionMbS":20.0,"ReadMbS":80.0,"RecordBytes":262144,
        "CallBytes":2097152,"RetentionS":20,"PartMb":200,"TtlMinMs":1000}}
      """;

  /** Halves of the ports that were tried; begins anywhere from 20,000 to 30,000. */
  private static final AtomicInteger PORTS =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(10_000, 15_000));

  private final String name;
  private final int front;
  private final int ready;
  private final String zone;
  private final double cpuShare;
  private final int cpuCores;
  private final int internal;
  private final Path settings;
  private final Process process;

  /**
   * Starts a process.
   *
   * @param cpuShare share of a core that the machine has
   * @param cpuCores how many times as fast the core is
   */
  public Gateway(
      String name, String zone, double cpuShare, int cpuCores, Store store, Path folder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.cpuShare = cpuShare;
    this.cpuCores = cpuCores;
    this.settings = folder.resolve(name + ".json");
    this.internal = freePort();
    this.front = freePort();
    this.ready = freePort();
    writeSettings(store.port());
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("HAWTHORNLB_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(name + ".log").toFile());
    process = builder.start();
  }

  /** Writes the settings file, in one step, with an address of the store. */
  public void writeSettings(int storePort) throws IOException {
    String text =
        String.format(
            Locale.ROOT,
            SETTINGS,
            name,
            zone,
            front,
            ready,
            internal,
            internal + 15,
            String.valueOf(cpuShare),
            storePort,
            cpuCores);
    Path next = settings.resolveSibling(name + ".next");
    Files.writeString(next, text);
    Files.move(next, settings, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns the words of the line "run" of the deploy file. */
  private static List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no line 'run'");
    }
    return List.of(run.group(1).split(" "));
  }

  public String name() {
    return name;
  }

  public int front() {
    return front;
  }

  public boolean alive() {
    return process.isAlive();
  }

  /** Returns whether the process answers 200 to the platform's check. */
  public boolean ready() {
    try {
      HttpURLConnection check =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + ready + "/ready").toURL().openConnection();
      check.setConnectTimeout(1_000);
      check.setReadTimeout(1_000);
      return check.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  public void signal(String signal) throws IOException, InterruptedException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }
  }

  public boolean awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns a port that, like the next one, is free for TCP and UDP. It is below the range from which
   * the system gives ports to connections, so that no connection has it when the process starts.
   */
  private static synchronized int freePort() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    while (true) {
      int port = PORTS.incrementAndGet() * 2;
      try (ServerSocket first = new ServerSocket(port, 1, loopback);
          ServerSocket next = new ServerSocket(port + 1, 1, loopback);
          DatagramSocket peer = new DatagramSocket(port, loopback)) {
        return peer.getLocalPort();
      } catch (BindException e) {
        // Another process uses one of the ports.
        continue;
      }
    }
  }
}
