package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.endpoint.VersionHistory;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteHistory;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.route.ServiceShare;
import io.hawthornlb.gateway.store.LogFreshness;
import io.hawthornlb.gateway.stream.StreamOrigin;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

class SingleVersionTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String HOST = "a.example";

  private final VirtualLoop time = new VirtualLoop();
  private final EndpointDirectory directory = new EndpointDirectory();
  private final VersionHistory history = new VersionHistory(directory, time);
  private final ConfigHolder config = new ConfigHolder();
  private final SingleVersion single =
      new SingleVersion(
          history,
          new RouteHistory(config, time),
          ConfigFreshness.ofList(new AlwaysFresh(), time.loop()),
          time);
  private long configs;

  /** A list that is always current. */
  private final class AlwaysFresh implements LogFreshness {

    @Override
    public Instant freshAsOf() {
      return time.instant();
    }

    @Override
    public CompletionStage<Void> refresh() {
      return CompletableFuture.completedFuture(null);
    }
  }

  /** Guards against the last of three repeats of a caller, each as long as the route allows. */
  @Test
  void namesNoneWhileARepeatOfACallerMayHaveBegunAtAnother() {
    apply(route("/", TIMEOUT, "old"));
    offer("e1", "old", "v1", false);
    offer("e2", "old", "v2", false);
    history.restart();
    time.advance(TIMEOUT.multipliedBy(5));
    offer("e1", "old", "v1", true);
    directory.withdraw("e1");
    time.advance(TIMEOUT.multipliedBy(3));
    assertEquals(Optional.empty(), shown("/"));
    time.advance(TIMEOUT.multipliedBy(2));
    assertEquals(Optional.of("v2"), shown("/"));
  }

  /** Guards against a stream of the former, longer timeout that outlives the current one's span. */
  @Test
  void namesNoneWhileAStreamOfALongerTimeoutMayRun() {
    apply(route("/", TIMEOUT, "old"));
    offer("e1", "old", "v1", false);
    offer("e2", "old", "v2", false);
    history.restart();
    time.advance(TIMEOUT.multipliedBy(5));
    offer("e1", "old", "v1", true);
    directory.withdraw("e1");
    apply(route("/", TIMEOUT.dividedBy(5), "old"));
    time.advance(TIMEOUT);
    assertEquals(Optional.empty(), shown("/"));
    time.advance(TIMEOUT.multipliedBy(4));
    assertEquals(Optional.of("v2"), shown("/"));
  }

  /** Guards against a stream of the former service that goes on at the one that has its route. */
  @Test
  void namesNoneWhileTheRouteMayHaveLedElsewhere() {
    List<List<Route>> changes =
        List.of(
            List.of(route("/", TIMEOUT, "old"), route("/a/", TIMEOUT, "new")),
            List.of(route("/", TIMEOUT, "old")),
            List.of(route("/", TIMEOUT, "new")),
            List.of(route("/", TIMEOUT, "new"), route("/a/", TIMEOUT, "old")));
    offer("e1", "old", "v1", false);
    offer("e2", "new", "v2", false);
    history.restart();
    apply(route("/", TIMEOUT, "old"));
    time.advance(TIMEOUT.multipliedBy(5));
    assertEquals(Optional.of("v1"), shown("/a/"));
    for (List<Route> change : changes) {
      apply(change.toArray(Route[]::new));
      time.advance(TIMEOUT);
      assertEquals(Optional.empty(), shown("/a/"), change.toString());
      time.advance(TIMEOUT.multipliedBy(4));
      String service = config.current().orElseThrow().match(HOST, "/a/").orElseThrow().service(0.5);
      assertEquals(Optional.of(service.equals("old") ? "v1" : "v2"), shown("/a/"));
    }
  }

  /**
   * Guards against an endpoint that serves unlisted, as it and others are cut off from the list.
   */
  @Test
  void namesNoneAfterAVersionHasGoneWithoutLeaving() {
    apply(route("/", TIMEOUT, "old"));
    offer("e1", "old", "v1", false);
    offer("e2", "old", "v2", false);
    history.restart();
    directory.withdraw("e1");
    time.advance(TIMEOUT.multipliedBy(6));
    assertEquals(Optional.empty(), shown("/"));
  }

  private Optional<String> shown(String path) {
    Route route = config.current().orElseThrow().match(HOST, path).orElseThrow();
    List<SingleVersion.Shown> answers = new ArrayList<>();
    single.find(new SingleVersion.Resumption(route, HOST, path, time.instant()), answers::add);
    assertEquals(1, answers.size());
    return answers.get(0).origin().map(StreamOrigin::version);
  }

  private void apply(Route... routes) {
    configs++;
    config.offer(new RoutingConfig(configs, List.of(routes), CallerLimits.DEFAULT));
  }

  private static Route route(String prefix, Duration timeout, String service) {
    return Route.builder(HOST, prefix)
        .name(prefix)
        .timeout(timeout)
        .services(List.of(new ServiceShare(service, 1)))
        .build();
  }

  private void offer(String id, String service, String version, boolean leaving) {
    directory.put(
        new EndpointRecord(
            id,
            service,
            new InetSocketAddress("127.0.0.1", 1),
            "a",
            8,
            leaving,
            EndpointIncarnation.UNKNOWN,
            version));
  }
}
