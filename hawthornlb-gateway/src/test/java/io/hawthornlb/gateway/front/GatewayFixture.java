package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.SilentEventLog;
import io.hawthornlb.gateway.decode.UnreadableException;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.job.JobCall;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.job.JobResult;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.process.GatewayProcess;
import io.hawthornlb.gateway.process.GatewaySettings;
import io.hawthornlb.gateway.process.SourceFormats;
import io.hawthornlb.gateway.process.StoreAccess;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.route.ServiceShare;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;

/** A whole gateway on loopback, with a log in memory and endpoints of the test. */
final class GatewayFixture implements AutoCloseable {

  static final HeaderNames NAMES =
      new HeaderNames(
          "Test-Id",
          "Test-Remaining",
          "Test-Expect",
          "Test-Not-Run",
          "Test-Signature",
          "Last-Event-Id",
          headers -> Optional.empty());

  /** Time within which a change is to be in force. */
  static final Duration CHANGE_TIME = Duration.ofSeconds(2);

  private static final String SERVICE = "engine";

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final FadingStore store = new FadingStore(loop);
  private final Formats formats = new Formats();
  private final SilentEventLog log = new SilentEventLog();
  private final GatewaySettings settings;
  private final GatewayProcess process;
  private Duration timeout = Duration.ofMillis(1_500);

  /** Log whose reads get no answer, as the test says. */
  private static final class FadingStore extends InMemoryLogStore {

    /** Time beyond its wait after which a read is given up. */
    private static final Duration CALL_TIME = Duration.ofMillis(900);

    private final EventLoop loop;
    private final AtomicInteger unheard = new AtomicInteger();
    private volatile boolean away;

    private FadingStore(EventLoop loop) {
      super(loop, 2);
      this.loop = loop;
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      return away ? noAnswer(wait) : super.read(topic, partition, from, wait);
    }

    @Override
    public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
      return away ? noAnswer(Duration.ZERO) : super.newest(topic, partition, after);
    }

    private <T> CompletionStage<T> noAnswer(Duration wait) {
      unheard.incrementAndGet();
      CompletableFuture<T> given = new CompletableFuture<>();
      StoreException up = new StoreException(StoreException.Kind.UNKNOWN, "No reply in time");
      long millis = wait.plus(CALL_TIME).toMillis();
      loop.schedule(() -> given.completeExceptionally(up), millis, TimeUnit.MILLISECONDS);
      return given;
    }
  }

  /** Formats that look objects up by a name. */
  private static final class Formats implements SourceFormats, JobFormat {

    private final Map<String, RoutingConfig> configs = new HashMap<>();
    private final Map<String, EndpointRecord> endpoints = new HashMap<>();

    @Override
    public String configTopic() {
      return "config";
    }

    @Override
    public String configKey() {
      return "config";
    }

    @Override
    public String endpointTopic() {
      return "endpoints";
    }

    @Override
    public RoutingConfig config(byte[] value) {
      return configs.get(new String(value, StandardCharsets.UTF_8));
    }

    @Override
    public EndpointRecord endpoint(String id, byte[] value) {
      return endpoints.get(id);
    }

    @Override
    public Optional<JobCall> call(FrontRequest request) {
      // Whatever is posted to a host that takes jobs is read as a job.
      throw new UnreadableException("body", "not a job");
    }

    @Override
    public boolean namesJob(FrontRequest request) {
      return false;
    }

    @Override
    public byte[] results(int total, int after, List<JobResult> results) {
      return new byte[0];
    }

    @Override
    public String resultsType() {
      return "text/plain";
    }
  }

  /** An answer as a caller read it. */
  record Answer(int status, String head, String body, boolean whole) {}

  GatewayFixture() {
    this(Duration.ofSeconds(8));
  }

  /** Starts a gateway that is given a time to stop. */
  GatewayFixture(Duration stopTime) {
    settings = settings(stopTime);
    process =
        new GatewayProcess(
            settings,
            loop,
            StoreAccess.local(store),
            formats,
            formats,
            NAMES,
            InstantSource.system(),
            log);
  }

  /** Sets how long requests of routes that are put in force later may take. */
  GatewayFixture timeout(Duration longest) {
    timeout = longest;
    return this;
  }

  /** Puts a configuration with one route in force, and offers endpoints in the order named. */
  GatewayFixture route(RouteKind kind, int maxAttempts, boolean resumable, ScriptedEndpoint... to) {
    for (int i = 0; i < to.length; i++) {
      String id = "e" + i;
      formats.endpoints.put(id, new EndpointRecord(id, SERVICE, to[i].address(), "a", 8, false));
      put(formats.endpointTopic(), id, id);
    }
    Route route =
        new Route(
            "r",
            "h.example",
            "/a/",
            kind,
            timeout,
            Duration.ofMillis(1_000),
            0,
            List.of(new ServiceShare(SERVICE, 1)),
            maxAttempts,
            resumable,
            null,
            null);
    CallerLimits limits =
        new CallerLimits(2_000, 5_000, Duration.ofMillis(300), Duration.ofSeconds(5));
    formats.configs.put("1", new RoutingConfig(1, List.of(route), limits));
    put(formats.configTopic(), formats.configKey(), "1");
    Awaitility.await().until(() -> log.events().contains("config.applied"));
    Awaitility.await()
        .until(
            () ->
                log.events().stream().filter("endpoint.offered"::equals).count() >= to.length
                    || to.length == 0);
    return this;
  }

  /** Sets whether the store answers no reads from now on. */
  GatewayFixture storeAway(boolean away) {
    store.away = away;
    return this;
  }

  /** Returns the number of reads that got no answer so far. */
  int unheardReads() {
    return store.unheard.get();
  }

  /** Lets an endpoint start again under its id, at the address of another one. */
  void restart(String id, ScriptedEndpoint to) {
    restart(id, to, InstantSource.system().millis());
  }

  /** Tells that an endpoint has started again at some time. */
  void restart(String id, ScriptedEndpoint to, long born) {
    formats.endpoints.put(id, new EndpointRecord(id, SERVICE, to.address(), "a", 8, false, born));
    put(formats.endpointTopic(), id, id);
    Awaitility.await().until(() -> log.events().contains("endpoint.restarted"));
  }

  Answer call(String path, String body) throws IOException {
    try (Socket socket = open(path, body)) {
      return read(socket);
    }
  }

  Socket open(String path, String body) throws IOException {
    return raw(request(path, body, "Connection: close\r\n"));
  }

  /** Returns a request after which the caller keeps its connection. */
  static String keptRequest(String path, String body) {
    return request(path, body, "");
  }

  private static String request(String path, String body, String connection) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: h.example\r\nTest-Id: id-1\r\nTest-Remaining: 6000\r\n"
        + "Other: x\r\n"
        + "Content-Length: "
        + body.length()
        + "\r\n"
        + connection
        + "\r\n"
        + body;
  }

  Socket raw(String bytes) throws IOException {
    Socket socket = new Socket(settings.front().getAddress(), settings.front().getPort());
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return socket;
  }

  /** Reads to the end of the connection; a chunked body is whole if its last chunk came. */
  static Answer read(Socket socket) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(bytes);
    } catch (IOException e) {
      // A reset ends the answer like any other end.
      bytes.writeBytes(new byte[0]);
    }
    String text = bytes.toString(StandardCharsets.UTF_8);
    int end = text.indexOf("\r\n\r\n");
    if (end < 0) {
      return new Answer(0, "", "", false);
    }
    String head = text.substring(0, end);
    String body = text.substring(end + 4);
    boolean chunked = head.toLowerCase().contains("transfer-encoding: chunked");
    boolean whole = !chunked || body.endsWith("0\r\n\r\n");
    int status = Integer.parseInt(head.split(" ")[1]);
    return new Answer(status, head, chunked ? unchunk(body) : body, whole);
  }

  /**
   * Sends what is none of ours to the port of the peers; each connection ends, whatever it brings.
   */
  void strangers() throws IOException {
    InetSocketAddress at = settings.self().address();
    byte[][] foreign = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
      {-1, -1, -1, -1, 0},
      {0, 0, 0, 0},
      {0, 0, 0, 3, 1, 2, 3},
      // A reply whose body claims 2 GB.
      {0, 0, 0, 9, 2, 1, (byte) 0x64, (byte) 0x80, (byte) 0xc6, 0x7f, -1, -1, -1}
    };
    for (byte[] bytes : foreign) {
      try (Socket socket = new Socket(at.getAddress(), at.getPort());
          DatagramSocket datagrams = new DatagramSocket(0, at.getAddress())) {
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(bytes);
        datagrams.send(new DatagramPacket(bytes, bytes.length, at));
        if (socket.getInputStream().read() >= 0) {
          throw new IOException("A stranger was answered");
        }
      } catch (SocketException e) {
        // A reset ends the connection as well.
        log.important("test", "stranger.reset").write();
      }
    }
  }

  /** Begins a graceful stop, without waiting for its end. */
  void stop() {
    Thread stopping = new Thread(process::stop, "gateway-stop");
    stopping.setDaemon(true);
    stopping.start();
  }

  SilentEventLog log() {
    return log;
  }

  @Override
  public void close() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void put(String topic, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    store.append(new AppendCall(topic, 0, List.of(new KeyedRecord(key, bytes)), null));
  }

  private static String unchunk(String body) {
    StringBuilder text = new StringBuilder();
    int at = 0;
    while (at < body.length()) {
      int line = body.indexOf("\r\n", at);
      if (line < 0) {
        break;
      }
      int length = Integer.parseInt(body.substring(at, line), 16);
      int from = line + 2;
      text.append(body, Math.min(from, body.length()), Math.min(from + length, body.length()));
      at = from + length + 2;
    }
    return text.toString();
  }

  private static GatewaySettings settings(Duration stopTime) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    List<Integer> ports = new ArrayList<>();
    try (ServerSocket front = new ServerSocket(0, 1, loopback);
        ServerSocket ready = new ServerSocket(0, 1, loopback);
        ServerSocket metrics = new ServerSocket(0, 1, loopback);
        ServerSocket relay = new ServerSocket(0, 1, loopback);
        DatagramSocket peer = new DatagramSocket(relay.getLocalPort(), loopback)) {
      ports.add(front.getLocalPort());
      ports.add(ready.getLocalPort());
      ports.add(metrics.getLocalPort());
      ports.add(peer.getLocalPort());
    } catch (IOException e) {
      throw new IllegalStateException("No free port on loopback", e);
    }
    return new GatewaySettings(
        new GatewayInstance("g1", "g1~1", new InetSocketAddress(loopback, ports.get(3)), "a"),
        new InetSocketAddress(loopback, ports.get(0)),
        new InetSocketAddress(loopback, ports.get(1)),
        new InetSocketAddress(loopback, ports.get(2)),
        stopTime,
        CHANGE_TIME,
        Duration.ofSeconds(120),
        2);
  }
}
