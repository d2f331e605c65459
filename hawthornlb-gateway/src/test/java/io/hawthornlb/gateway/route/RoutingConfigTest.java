package io.hawthornlb.gateway.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RoutingConfigTest {

  @Test
  void matchesTheLongestPrefixOfTheHost() {
    RoutingConfig config =
        config(1, route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/"));
    assertEquals(Optional.of("long"), config.match("H.example:80", "/a/b/c").map(Route::name));
    assertEquals(Optional.of("short"), config.match("h.example", "/a/c").map(Route::name));
    assertEquals(Optional.empty(), config.match("h.example", "/ab").map(Route::name));
    assertEquals(Optional.empty(), config.match("other.example", "/a/").map(Route::name));
  }

  @Test
  void selectsServicesByTheirWeights() {
    Route split =
        Route.builder("h", "/a/")
            .name("r")
            .kind(RouteKind.IDEMPOTENT)
            .timeout(Duration.ofSeconds(1))
            .objective(Duration.ofSeconds(1))
            .services(List.of(new ServiceShare("x", 90), new ServiceShare("y", 10)))
            .build();
    assertEquals("x", split.service(0));
    assertEquals("x", split.service(0.899));
    assertEquals("y", split.service(0.901));
  }

  /**
   * Guards against a caller that is served by a previous route after it was served by a new one,
   * because a later read of the log lagged behind an earlier one.
   */
  @Test
  void neverReturnsToALowerVersion() {
    ConfigHolder holder = new ConfigHolder();
    assertTrue(holder.offer(config(7)));
    assertFalse(holder.offer(config(6)));
    assertFalse(holder.offer(config(7)));
    assertEquals(7, holder.current().orElseThrow().version());
  }

  private static RoutingConfig config(long version, Route... routes) {
    return new RoutingConfig(version, List.of(routes), CallerLimits.DEFAULT);
  }

  private static Route route(String name, String host, String prefix) {
    return Route.builder(host, prefix)
        .name(name)
        .kind(RouteKind.STREAM)
        .timeout(Duration.ofSeconds(1))
        .objective(Duration.ofSeconds(1))
        .services(List.of(new ServiceShare("s", 1)))
        .build();
  }
}
