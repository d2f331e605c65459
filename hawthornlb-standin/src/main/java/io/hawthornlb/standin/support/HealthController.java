package io.hawthornlb.standin.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Serves the health check: status 200 if the process accepts new work, else status 503. */
@Controller("/health")
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class HealthController {

  private final ActiveFaults faults;

  HealthController(ActiveFaults faults) {
    this.faults = faults;
  }

  /** The body of the health check: {@code live} or {@code leaving}. */
  record Health(String state) {}

  @Get
  HttpResponse<byte[]> health() {
    return faults.leaving()
        ? WireJson.answer(HttpStatus.SERVICE_UNAVAILABLE, new Health(Announcement.LEAVING))
        : WireJson.ok(new Health(Announcement.LIVE));
  }
}
