package io.hawthornlb.standin.support;

import io.hawthornlb.standin.fault.FaultBoard;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Says whether the process takes new work. */
@Controller("/health")
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class HealthController {

  private final FaultBoard faults;

  HealthController(FaultBoard faults) {
    this.faults = faults;
  }

  /** The state of the process. */
  record Health(String state) {}

  @Get
  HttpResponse<byte[]> health() {
    return faults.leaving()
        ? WireJson.answer(HttpStatus.SERVICE_UNAVAILABLE, new Health(Announcement.LEAVING))
        : WireJson.ok(new Health(Announcement.LIVE));
  }
}
