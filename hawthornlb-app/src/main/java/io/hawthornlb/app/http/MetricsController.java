package io.hawthornlb.app.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Exposes all meters in the Prometheus text format. */
@Controller("/metrics")
@Requires(property = "hawthornlb.role", value = "entry")
public class MetricsController {

  private final PrometheusMeterRegistry registry;

  /** Creates the controller. */
  public MetricsController(PrometheusMeterRegistry registry) {
    this.registry = registry;
  }

  /** Returns the current values of all meters. */
  @Get(produces = MediaType.TEXT_PLAIN)
  public String scrape() {
    return registry.scrape();
  }
}
