package io.hawthornlb.app.http;

import io.hawthornlb.core.model.Finding;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.List;

/** Liveness and readiness checks for load balancers and operators. */
@Controller("/health")
@Requires(property = "hawthornlb.role", value = "entry")
public class HealthController {

  private final ReadinessSource readiness;

  /** Creates the controller. */
  public HealthController(ReadinessSource readiness) {
    this.readiness = readiness;
  }

  /** Returns 200 as long as the process runs. */
  @Get("/live")
  public Health live() {
    return new Health("live", List.of());
  }

  /** Returns 200 if the instance accepts requests, otherwise 503 with the reasons. */
  @Get("/ready")
  public MutableHttpResponse<Health> ready() {
    List<String> obstacles = readiness.obstacles().stream().map(Finding::text).toList();
    if (obstacles.isEmpty()) {
      return HttpResponse.ok(new Health("ready", obstacles));
    }
    return HttpResponse.<Health>status(HttpStatus.SERVICE_UNAVAILABLE)
        .body(new Health("not-ready", obstacles));
  }

  /**
   * Health of the instance.
   *
   * @param state {@code live}, {@code ready} or {@code not-ready}
   * @param obstacles the reasons why the instance is not ready; empty otherwise
   */
  public record Health(String state, List<String> obstacles) {}
}
