package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.support.Announcement;
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
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Put;
import java.util.List;
import java.util.Set;

/** Serves the instance list over HTTP. */
@Controller("/instances")
@Requires(property = StandinServer.ROLE_PROPERTY, value = PlatformStandin.ROLE)
final class InstanceController {

  private static final Set<String> STATES = Set.of(Announcement.LIVE, Announcement.LEAVING);
  private static final Set<String> KINDS = Set.of("entry", Announcement.ENDPOINT);

  private final InstanceDirectory directory;

  InstanceController(InstanceDirectory directory) {
    this.directory = directory;
  }

  /** The instance list with the time at which it was current. */
  record ListAnswer(String asOf, List<Announcement> instances) {}

  @Get
  HttpResponse<byte[]> list() {
    var visible = directory.visible();
    return WireJson.ok(new ListAnswer(visible.asOf().toString(), visible.value()));
  }

  @Put("/{id}")
  @Consumes(MediaType.ALL)
  HttpResponse<byte[]> announce(@PathVariable String id, @Body byte[] body) {
    Announcement announcement = WireJson.read(body, Announcement.class);
    boolean valid =
        KINDS.contains(String.valueOf(announcement.kind()))
            && STATES.contains(String.valueOf(announcement.state()))
            && announcement.address() != null;
    if (!valid || !id.equals(announcement.id())) {
      return WireJson.error(HttpStatus.BAD_REQUEST, "id, kind, state or address does not fit");
    }
    directory.put(announcement);
    return HttpResponse.noContent();
  }

  @Delete("/{id}")
  HttpResponse<byte[]> withdraw(@PathVariable String id) {
    directory.remove(id);
    return HttpResponse.noContent();
  }
}
