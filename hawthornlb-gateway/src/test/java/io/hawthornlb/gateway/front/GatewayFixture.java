package io.hawthornlb.gateway.front;

import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.WorkspaceLimit;
import io.hawthornlb.core.workspace.WorkspaceRegistry;
import io.hawthornlb.core.workspace.support.DefaultWorkspaceRegistry;
import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.process.GatewayProcess;
import io.hawthornlb.gateway.process.GatewaySettings;
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
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;

/** A complete gateway on loopback, with an in-memory log store and the test's own endpoints. */
final class GatewayFixture implements AutoCloseable {

  static final HeaderNames NAMES =
      new HeaderNames(
          "Test-Id",
          "Test-Remaining",
          "Test-Expect",
          "Test-Not-Run",
          "Test-Signature",
          "Last-Event-Id",
          "Test-Resumes",
          "Test-Key",
          "Test-Workspace",
          headers -> Optional.empty(),
          header -> WorkSize.NONE,
          GatewayFixture::parts);

  /** Time within which a change must be in force. */
  static final Duration CHANGE_TIME = Duration.ofSeconds(2);

  private static final String SERVICE = "engine";

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final UnresponsiveStore store = new UnresponsiveStore(loop);
  private final NamedFormats formats = new NamedFormats();
  private final RecordingEventLog log = new RecordingEventLog();
  private final GatewaySettings settings;
  private final GatewayProcess process;
  private Duration timeout = Duration.ofMillis(1_500);
  private int maxBodyBytes = 5_000;
  private @Nullable WorkspaceRegistry workspaces;
  private List<Route> routes = List.of();
  private List<String> versions = List.of();
  private @Nullable WorkspaceLimit limit;

  /** Log store that stops answering reads when the test asks for it. */
  private static final class UnresponsiveStore extends InMemoryLogStore {

    /** Time beyond the requested wait after which an unanswered read fails. */
    private static final Duration CALL_TIME = Duration.ofMillis(900);

    private final EventLoop loop;
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean unresponsive;

    private UnresponsiveStore(EventLoop loop) {
      super(loop, 2);
      this.loop = loop;
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      return unresponsive ? noAnswer(wait) : super.read(topic, partition, from, wait);
    }

    @Override
    public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
      return unresponsive ? noAnswer(Duration.ZERO) : super.newest(topic, partition, after);
    }

    private <T> CompletionStage<T> noAnswer(Duration wait) {
      unanswered.incrementAndGet();
      CompletableFuture<T> pending = new CompletableFuture<>();
      StoreException timedOut = new StoreException(StoreException.Kind.UNKNOWN, "no reply in time");
      long millis = wait.plus(CALL_TIME).toMillis();
      loop.schedule(() -> pending.completeExceptionally(timedOut), millis, TimeUnit.MILLISECONDS);
      return pending;
    }
  }

  /**
   * A response as a caller received it.
   *
   * @param status status code; 0 if no complete head was received
   * @param head status line and headers
   * @param body body without chunk framing
   * @param whole whether a chunked body ended with its last chunk
   */
  record Answer(int status, String head, String body, boolean whole) {}

  GatewayFixture() {
    this(Duration.ofSeconds(8));
  }

  /** Starts a gateway with a given shutdown time. */
  GatewayFixture(Duration stopTime) {
    this(stopTime, RevocationPolicy.LENIENT);
  }

  /** Starts a gateway with a given policy for keys. */
  GatewayFixture(RevocationPolicy revocation) {
    this(Duration.ofSeconds(8), revocation);
  }

  private GatewayFixture(Duration stopTime, RevocationPolicy revocation) {
    settings = settings(stopTime, revocation);
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

  /** Sets the timeout of routes that are put in force after this call. */
  GatewayFixture timeout(Duration longest) {
    timeout = longest;
    return this;
  }

  /** Sets the size limit of bodies for configurations that are put in force after this call. */
  GatewayFixture maxBody(int bytes) {
    maxBodyBytes = bytes;
    return this;
  }

  /** Sets the limit of each workspace whose keys are set after this call. */
  GatewayFixture limit(WorkspaceLimit each) {
    limit = each;
    return this;
  }

  /** Sets the keys, with their workspaces, of the configuration that is put in force next. */
  GatewayFixture keys(Map<String, String> holders) {
    DefaultWorkspaceRegistry.Builder registry = DefaultWorkspaceRegistry.builder();
    for (String name : Set.copyOf(holders.values())) {
      Workspace workspace = new Workspace(new WorkspaceId(name), null, limit);
      registry.add(
          workspace,
          holders.keySet().stream().filter(key -> holders.get(key).equals(name)).toList());
    }
    workspaces = registry.build();
    return this;
  }

  /** Puts a version with other keys in force. */
  void changeKeys(long version, Map<String, String> holders) {
    long applied = log.events().stream().filter("config.applied"::equals).count();
    offerKeys(version, holders);
    Awaitility.await()
        .until(() -> log.events().stream().filter("config.applied"::equals).count() > applied);
  }

  /** Writes a version with other keys, and waits until the gateway has read that version. */
  void offerKeys(long version, Map<String, String> holders) {
    long read = readConfigs();
    keys(holders);
    putConfig(version);
    Awaitility.await().until(() -> readConfigs() > read);
  }

  private long readConfigs() {
    return log.events().stream()
        .filter(event -> event.equals("config.applied") || event.equals("config.passed.over"))
        .count();
  }

  private void putConfig(long version) {
    CallerLimits limits =
        new CallerLimits(2_000, maxBodyBytes, Duration.ofMillis(300), Duration.ofSeconds(5));
    String name = String.valueOf(version);
    formats.configs.put(name, new RoutingConfig(version, routes, limits, workspaces));
    put(formats.configTopic(), formats.configKey(), name);
  }

  /** Sets the software versions of the endpoints that are offered next, in their order. */
  GatewayFixture versions(String... each) {
    versions = List.of(each);
    return this;
  }

  /** Removes an endpoint from the list, and waits until the gateway has read that. */
  void remove(String id) {
    store.append(
        new AppendCall(formats.endpointTopic(), 0, List.of(new KeyedRecord(id, null)), null));
    Awaitility.await().until(() -> log.events().contains("endpoint.removed"));
  }

  /** Puts a configuration in force whose only route needs no key. */
  GatewayFixture openRoute(RouteKind kind, ScriptedEndpoint to) {
    return route(kind, 1, false, true, to);
  }

  /** Puts a configuration with one route in force, and offers the endpoints in the given order. */
  GatewayFixture route(RouteKind kind, int maxAttempts, boolean resumable, ScriptedEndpoint... to) {
    return route(kind, maxAttempts, resumable, false, to);
  }

  private GatewayFixture route(
      RouteKind kind,
      int maxAttempts,
      boolean resumable,
      boolean anonymous,
      ScriptedEndpoint... to) {
    InetSocketAddress[] addresses =
        Arrays.stream(to).map(ScriptedEndpoint::address).toArray(InetSocketAddress[]::new);
    return route(kind, maxAttempts, resumable, anonymous, addresses);
  }

  /** Puts a configuration with one route in force, whose endpoints listen at the addresses. */
  GatewayFixture route(
      RouteKind kind,
      int maxAttempts,
      boolean resumable,
      boolean anonymous,
      InetSocketAddress... to) {
    for (int i = 0; i < to.length; i++) {
      String id = "e" + i;
      String version = i < versions.size() ? versions.get(i) : EndpointRecord.ONLY_VERSION;
      formats.endpoints.put(
          id,
          new EndpointRecord(
              id, SERVICE, to[i], "a", 8, false, EndpointIncarnation.UNKNOWN, version));
      put(formats.endpointTopic(), id, id);
    }
    Route route =
        Route.builder("h.example", "/a/")
            .name("r")
            .kind(kind)
            .timeout(timeout)
            .objective(Duration.ofMillis(1_000))
            .services(List.of(new ServiceShare(SERVICE, 1)))
            .maxAttempts(maxAttempts)
            .resumable(resumable)
            .anonymous(anonymous)
            .build();
    routes = List.of(route);
    putConfig(1);
    Awaitility.await().until(() -> log.events().contains("config.applied"));
    Awaitility.await()
        .until(
            () ->
                log.events().stream().filter("endpoint.offered"::equals).count() >= to.length
                    || to.length == 0);
    return this;
  }

  /** Sets whether the store stops answering reads. */
  GatewayFixture storeUnresponsive(boolean unresponsive) {
    store.unresponsive = unresponsive;
    return this;
  }

  /** Returns the number of reads so far that got no answer. */
  int unansweredReads() {
    return store.unanswered.get();
  }

  /** Restarts an endpoint under its id, at the address of another scripted endpoint. */
  void restart(String id, ScriptedEndpoint to) {
    restart(id, to, InstantSource.system().millis());
  }

  /** Announces that an endpoint has restarted at a given time. */
  void restart(String id, ScriptedEndpoint to, long startMillis) {
    formats.endpoints.put(
        id, new EndpointRecord(id, SERVICE, to.address(), "a", 8, false, startMillis));
    put(formats.endpointTopic(), id, id);
    Awaitility.await().until(() -> log.events().contains("endpoint.restarted"));
  }

  Answer call(String path, String body) throws IOException {
    try (Socket socket = open(path, body)) {
      return read(socket);
    }
  }

  /** Sends a request with further header lines. */
  Answer callWith(String headers, String path, String body) throws IOException {
    try (Socket socket = raw(request(path, body, headers + "Connection: close\r\n"))) {
      return read(socket);
    }
  }

  /** Returns a request with further header lines, which leaves the connection open. */
  static String keptRequestWith(String headers, String path, String body) {
    return request(path, body, headers);
  }

  Socket open(String path, String body) throws IOException {
    return raw(request(path, body, "Connection: close\r\n"));
  }

  /** Returns a request that leaves the connection open. */
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

  private static PromptParts parts(UnaryOperator<String> header) {
    String prompt = header.apply("Test-Parts");
    return prompt == null ? PromptParts.NONE : PromptParts.ofPrompt(List.of(prompt.split(",")));
  }

  Socket raw(String bytes) throws IOException {
    Socket socket = new Socket(settings.front().getAddress(), settings.front().getPort());
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
    return socket;
  }

  /**
   * Reads to the end of the connection; a chunked body is complete if its last chunk was received.
   */
  static Answer read(Socket socket) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(bytes);
    } catch (IOException e) {
      // A reset ends the response like a normal close.
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

  /** Sends foreign bytes to the peer port and checks that each connection ends without a reply. */
  void sendForeignBytes() throws IOException {
    InetSocketAddress at = settings.self().address();
    byte[][] foreign = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
      {-1, -1, -1, -1, 0},
      {0, 0, 0, 0},
      {0, 0, 0, 3, 1, 2, 3},
      // A reply frame whose body claims a length of 2 GB.
      {0, 0, 0, 9, 2, 1, (byte) 0x64, (byte) 0x80, (byte) 0xc6, 0x7f, -1, -1, -1}
    };
    for (byte[] bytes : foreign) {
      try (Socket socket = new Socket(at.getAddress(), at.getPort());
          DatagramSocket datagrams = new DatagramSocket(0, at.getAddress())) {
        socket.setSoTimeout(5_000);
        socket.getOutputStream().write(bytes);
        datagrams.send(new DatagramPacket(bytes, bytes.length, at));
        if (socket.getInputStream().read() >= 0) {
          throw new IOException("the peer port answered foreign bytes");
        }
      } catch (SocketException e) {
        // A reset also ends the connection.
        log.important("test", "stranger.reset").write();
      }
    }
  }

  /** Starts a graceful stop without waiting for its end. */
  void stop() {
    Thread stopping = new Thread(process::stop, "gateway-stop");
    stopping.setDaemon(true);
    stopping.start();
  }

  RecordingEventLog log() {
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

  private static GatewaySettings settings(Duration stopTime, RevocationPolicy revocation) {
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
      throw new IllegalStateException("no free port on loopback", e);
    }
    return new GatewaySettings(
        new GatewayInstance("g1", "g1~1", new InetSocketAddress(loopback, ports.get(3)), "a"),
        new InetSocketAddress(loopback, ports.get(0)),
        new InetSocketAddress(loopback, ports.get(1)),
        new InetSocketAddress(loopback, ports.get(2)),
        stopTime,
        CHANGE_TIME,
        revocation,
        Duration.ofSeconds(120),
        2);
  }
}
