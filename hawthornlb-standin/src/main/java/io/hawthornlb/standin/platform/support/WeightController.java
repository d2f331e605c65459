package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.support.StandinServer;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.QueryValue;
import java.time.Duration;
import java.util.Random;

/** Serves the weight store over HTTP. */
@Controller("/weights")
@Requires(property = StandinServer.ROLE_PROPERTY, value = PlatformStandin.ROLE)
final class WeightController {

  private final WeightStore store;

  WeightController(WeightStore store) {
    this.store = store;
  }

  @Get("/{model}")
  HttpResponse<byte[]> read(
      @PathVariable String model, @QueryValue(defaultValue = "") String version) {
    Duration wait = store.bucket().tryTake();
    if (!wait.isZero()) {
      return LogController.tooMany(wait);
    }
    byte[] bytes = new byte[store.bytes()];
    new Random((model + "\n" + version).hashCode()).nextBytes(bytes);
    return HttpResponse.ok(bytes).contentType(MediaType.APPLICATION_OCTET_STREAM_TYPE);
  }
}
