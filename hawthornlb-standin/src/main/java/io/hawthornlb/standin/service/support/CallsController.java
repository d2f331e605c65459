package io.hawthornlb.standin.service.support;

import io.hawthornlb.standin.service.CallCounter;
import io.hawthornlb.standin.service.ServiceStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Serves the call counts by idempotency key. */
@Controller("/standin/calls")
@Requires(property = StandinServer.ROLE_PROPERTY, value = ServiceStandin.ROLE)
final class CallsController {

  private final CallCounter counter;

  CallsController(CallCounter counter) {
    this.counter = counter;
  }

  @Get
  HttpResponse<byte[]> calls() {
    return WireJson.ok(counter.counts());
  }
}
