package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.core.workspace.support.DefaultWorkspaceRegistry;
import io.hawthornlb.gateway.route.CallerLimits;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.route.ServiceShare;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestResolverTest {

  private static final Workspace FARM = new Workspace(new WorkspaceId("farm"), 3, null);
  private final RequestResolver resolver = new RequestResolver(GatewayFixture.NAMES, any -> true);

  /** Guards against a call about a job that carries the caller's key to another instance. */
  @Test
  void replacesTheKeyOfACallAboutAJobByTheWorkspace() {
    RequestResolver.AboutJob call =
        assertInstanceOf(RequestResolver.AboutJob.class, resolve("/jobs/1", "key-a"));
    assertNull(call.request().headers().get("Test-Key"));
    assertEquals("farm", call.request().headers().get("Test-Workspace"));
    assertEquals(FARM, call.request().workspace());
  }

  /** Guards against reading a job without a key, because the path of the call has no route. */
  @Test
  void asksForAKeyOnCallsWithoutARouteOfTheirOwn() {
    assertInstanceOf(RequestResolver.AboutJob.class, resolve("/results/1", "key-a"));
    assertEquals(RequestResolver.Rejected.UNKNOWN_KEY, resolve("/results/1", "key-b"));
  }

  private RequestResolver.Resolution resolve(String path, String key) {
    Route route =
        Route.builder("h", "/jobs/")
            .name("jobs")
            .kind(RouteKind.JOB)
            .timeout(Duration.ofSeconds(5))
            .objective(Duration.ofSeconds(1))
            .services(List.of(new ServiceShare("engine", 1)))
            .build();
    RoutingConfig config =
        new RoutingConfig(
            1,
            List.of(route),
            CallerLimits.DEFAULT,
            DefaultWorkspaceRegistry.builder().add(FARM, List.of("key-a")).build());
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Test-Key", key).set("Test-Workspace", "claimed");
    return resolver.resolve(
        config,
        new FrontRequest(HttpMethod.GET, path, path, "h", headers, new byte[0], Instant.EPOCH));
  }
}
