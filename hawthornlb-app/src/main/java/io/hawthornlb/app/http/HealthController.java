package io.hawthornlb.app.http;

import io.hawthornlb.core.model.Finding;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import java.util.List;

/** Tells the balancer and operators how the instance is. */
@Controller("/health")
@Requires(property = "hawthornlb.role", value = "entry")
public class HealthController {

  private final ReadinessSource readiness;

  /** Creates the controller. */
  public HealthController(ReadinessSource readiness) {
    this.readiness = readiness;
  }

  /** Answers as long as the process runs. */
  @Get("/live")
  public Health live() {
    return new Health("live", List.of());
  }

  /** Answers 200 when the instance takes requests, 503 with the obstacles otherwise. */
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
   * State of the instance.
   *
   * @param state live, ready or not-ready
   * @param obstacles what keeps it from being ready
   */
  public record Health(String state, List<String> obstacles) {}
}
