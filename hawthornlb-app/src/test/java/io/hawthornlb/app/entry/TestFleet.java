package io.hawthornlb.app.entry;

import io.hawthornlb.app.http.CatalogueIndex;
import io.hawthornlb.app.settings.CatalogueWriter;
import io.hawthornlb.app.settings.ClaimSettings;
import io.hawthornlb.app.settings.EntrySettings;
import io.hawthornlb.app.settings.HttpSettings;
import io.hawthornlb.app.settings.InstanceSettings;
import io.hawthornlb.app.settings.KnownPeer;
import io.hawthornlb.app.settings.NetworkAddress;
import io.hawthornlb.app.settings.PeerSettings;
import io.hawthornlb.app.settings.PlatformSettings;
import io.hawthornlb.app.settings.TlsSettings;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.engine.EngineSettings;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.service.ServiceSettings;
import io.hawthornlb.standin.service.ServiceStandin;
import io.hawthornlb.standin.support.StandinIdentity;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;

/** A small fleet of stand-ins and entry instances in one process, connected by real sockets. */
final class TestFleet implements AutoCloseable {

  static final String KEY = "test-key";
  static final WorkspaceId WORKSPACE = new WorkspaceId("weddings");
  static final String OPERATOR_KEY = "operator-key";
  static final String CHAT_SERVICE = "brief-llm";
  static final String PLAIN_SERVICE = "checkin-app";

  private static final String LOOPBACK = "127.0.0.1";
  private static final String DATA_CENTRE = "ruwi";
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient http = HttpClient.newHttpClient();
  private final RunningStandin platform;
  private final List<RunningStandin> endpoints = new ArrayList<>();
  private final List<EntryProcess> entries = new ArrayList<>();

  TestFleet() {
    platform =
        PlatformStandin.start(
            io.hawthornlb.standin.platform.PlatformSettings.builder()
                .instanceListLagMillis(0)
                .build());
  }

  RunningStandin addEngine(String id) {
    return add(
        EngineStandin.start(
            EngineSettings.builder().identity(identity(id, CHAT_SERVICE)).build(), () -> {}));
  }

  /** Closes an engine, and starts one of another software version at its address under its id. */
  RunningStandin replaceEngine(RunningStandin former, String id, String version) {
    int port = former.port();
    former.close();
    EngineSettings settings =
        EngineSettings.builder()
            .identity(identity(id, CHAT_SERVICE, port))
            .version(version)
            .build();
    // The former engine may still hold its port for a moment.
    return add(
        Awaitility.await()
            .atMost(TIMEOUT)
            .ignoreExceptions()
            .until(() -> EngineStandin.start(settings, () -> {}), engine -> true));
  }

  /** Returns whether no engine and no service works on a request. */
  boolean idle() {
    return endpoints.stream().allMatch(endpoint -> endpoint.awaitIdle(Duration.ZERO));
  }

  RunningStandin addService(String id) {
    return add(
        ServiceStandin.start(
            ServiceSettings.builder().identity(identity(id, PLAIN_SERVICE)).build(), () -> {}));
  }

  EntryProcess addEntry(String id) {
    return addEntry(id, List.of());
  }

  /** Adds an entry instance whose settings name other entry instances. */
  EntryProcess addEntry(String id, List<KnownPeer> known) {
    EntryProcess entry = EntryProcess.start(entrySettings(id, known));
    entries.add(entry);
    return entry;
  }

  /** Stops an entry instance gracefully. */
  void stop(EntryProcess entry) {
    entries.remove(entry);
    entry.close();
  }

  /** Makes the platform answer every call with 503 until the fleet is closed. */
  void platformDown() {
    fault(platform, "down");
  }

  /** Injects a fault at a stand-in until the fleet is closed. */
  void fault(RunningStandin standin, String kind) {
    String body = "{\"kind\":\"" + kind + "\",\"forMillis\":600000}";
    HttpRequest fault =
        HttpRequest.newBuilder(URI.create("http://" + standin.address() + "/standin/faults"))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    if (send(fault).statusCode() >= 300) {
      throw new IllegalStateException("the stand-in did not accept the fault");
    }
  }

  /** Returns how many times the services have run a call with a key. */
  int callsOf(String key) {
    int calls = 0;
    for (RunningStandin endpoint : endpoints) {
      URI uri = URI.create("http://" + endpoint.address() + "/standin/calls");
      String body = send(HttpRequest.newBuilder(uri).build()).body();
      Matcher matcher = Pattern.compile("\"" + key + "\":(\\d+)").matcher(body);
      calls += matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }
    return calls;
  }

  void awaitReady(EntryProcess entry) {
    Awaitility.await()
        .atMost(TIMEOUT)
        .until(() -> send(get(entry, "/health/ready")).statusCode() == 200);
  }

  /** Submits the test catalogue and waits until the entry instance has accepted it. */
  void putCatalogue(EntryProcess entry) {
    putCatalogue(entry, -1, catalogue());
  }

  /** Submits a catalogue in place of a version, and waits until the entry instance accepts it. */
  void putCatalogue(EntryProcess entry, long replaced, Catalogue catalogue) {
    HttpRequest put =
        HttpRequest.newBuilder(uri(entry, "/v1/catalogue"))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + OPERATOR_KEY)
            .header("If-Match", String.valueOf(replaced))
            .header("X-Author", "tester")
            .PUT(HttpRequest.BodyPublishers.ofString(new CatalogueWriter().write(catalogue)))
            .build();
    Awaitility.await().atMost(TIMEOUT).until(() -> send(put).statusCode() == 200);
  }

  static HttpRequest chat(EntryProcess entry, String body) {
    return to(entry, "/v1/chat/completions")
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  static HttpRequest get(EntryProcess entry, String path) {
    return to(entry, path).GET().build();
  }

  static HttpRequest.Builder to(EntryProcess entry, String path) {
    return HttpRequest.newBuilder(uri(entry, path))
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + KEY);
  }

  static URI uri(EntryProcess entry, String path) {
    return URI.create("http://" + LOOPBACK + ":" + entry.port() + path);
  }

  CompletableFuture<HttpResponse<InputStream>> stream(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  HttpResponse<String> send(HttpRequest request) {
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  static Catalogue catalogue() {
    ServiceEntry chat =
        ServiceEntry.builder(new ServiceName(CHAT_SERVICE), "roster team", ServiceKind.ENGINE)
            .build();
    ServiceEntry plain =
        ServiceEntry.builder(new ServiceName(PLAIN_SERVICE), "door team", ServiceKind.PLAIN)
            .deadline(Duration.ofSeconds(10))
            .build();
    WorkspaceEntry workspace =
        new WorkspaceEntry(
            WORKSPACE, "coordinators", List.of(CatalogueIndex.hash(KEY)), Limits.DEFAULT, 1);
    return new Catalogue(
        0, Map.of(chat.name(), chat, plain.name(), plain), Map.of(workspace.id(), workspace));
  }

  @Override
  public void close() {
    entries.forEach(EntryProcess::close);
    endpoints.forEach(RunningStandin::close);
    platform.close();
  }

  private RunningStandin add(RunningStandin standin) {
    endpoints.add(standin);
    return standin;
  }

  private StandinIdentity identity(String id, String service) {
    return identity(id, service, 0);
  }

  private StandinIdentity identity(String id, String service, int port) {
    return StandinIdentity.builder()
        .id(id)
        .service(service)
        .port(port)
        .dataCentre(DATA_CENTRE)
        .platform(platform.address())
        .announceMillis(200)
        .build();
  }

  /** Returns the settings with which another entry instance names an entry instance. */
  static KnownPeer known(String id, EntryProcess entry) {
    String address = entry.peerAddress();
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    return new KnownPeer(
        new InstanceId(id), new DataCentre(DATA_CENTRE), new NetworkAddress(LOOPBACK, port));
  }

  private EntrySettings entrySettings(String id, List<KnownPeer> known) {
    return EntrySettings.builder(
            new InstanceSettings(new InstanceId(id), new DataCentre(DATA_CENTRE)),
            new HttpSettings(new NetworkAddress(LOOPBACK, 0), HttpSettings.DEFAULT_BODY_LIMIT),
            new PeerSettings(
                new NetworkAddress(LOOPBACK, 0),
                TlsSettings.PLAIN,
                PeerSettings.DEFAULT_PROBE,
                PeerSettings.DEFAULT_SILENCE,
                1 << 20,
                known),
            new PlatformSettings(
                new NetworkAddress(LOOPBACK, platform.port()), PlatformSettings.DEFAULT_TIMEOUT))
        .operatorKeyHashes(List.of(CatalogueIndex.hash(OPERATOR_KEY)))
        .claims(new ClaimSettings(8, Duration.ofSeconds(1), Duration.ofSeconds(4)))
        .build();
  }
}
