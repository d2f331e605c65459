package io.hawthornlb.standin.fault.support;

import io.hawthornlb.standin.fault.ActiveFaults;
import io.hawthornlb.standin.fault.FaultKind;
import io.hawthornlb.standin.fault.FaultOrder;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Delete;
import io.micronaut.http.annotation.Post;
import java.time.Duration;
import java.util.Optional;

/** Activates and clears faults over HTTP. */
@Controller("/standin/faults")
@Requires(property = StandinServer.STANDIN_PROPERTY)
final class FaultController {

  private static final Duration UNTIL_DELETED = Duration.ofDays(365);

  private final ActiveFaults faults;

  FaultController(ActiveFaults faults) {
    this.faults = faults;
  }

  @Post
  @Consumes(MediaType.ALL)
  HttpResponse<byte[]> start(@Body byte[] body) {
    FaultOrder order = WireJson.read(body, FaultOrder.class);
    Optional<FaultKind> kind = FaultKind.ofWireName(order.kind());
    if (kind.isEmpty()) {
      return WireJson.error(HttpStatus.BAD_REQUEST, "unknown kind " + order.kind());
    }
    if (kind.get().needsMatch() && order.match().isEmpty()) {
      return WireJson.error(HttpStatus.BAD_REQUEST, kind.get().wireName() + " needs match");
    }
    Duration duration =
        order.forMillis() <= 0 ? UNTIL_DELETED : Duration.ofMillis(order.forMillis());
    faults.start(kind.get(), duration, order.value(), order.match());
    return HttpResponse.noContent();
  }

  @Delete
  HttpResponse<byte[]> clear() {
    faults.clear();
    return HttpResponse.noContent();
  }
}
