package io.hawthornlb.gateway.slot.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.SchedulingSettings;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ContentionTest {

  private final CoordinatorFixture fixture =
      new CoordinatorFixture(
              SlotSettings.builder().scheduling(new SchedulingSettings(true)).build())
          .endpoint("e", "a", 1);
  private long numbers = 1_000;

  /** Guards against a data centre that waits behind the many workspaces of another one. */
  @Test
  void servesDataCentresInTurn() {
    SlotRequest running = fixture.online("a");
    fixture.granted(running);
    for (int i = 0; i < 4; i++) {
      waits(request("a", "w" + i, Set.of()));
    }
    for (int i = 0; i < 4; i++) {
      waits(request("b", "w9", Set.of()));
    }
    List<String> order = new ArrayList<>();
    SlotKey last = running.key();
    for (int i = 0; i < 4; i++) {
      last = fixture.coordinator.release(last, SlotOutcome.ANSWERED, fixture.now).get(0).key();
      order.add(last.holder());
    }
    assertEquals(List.of("a", "b", "a", "b"), order);
  }

  /** Guards against the refusal of a request that an endpoint has seen as excess or as early. */
  @Test
  void refusesTheExcessOfAWorkspaceButNoStartedRequest() {
    fixture.granted(fixture.online("a"));
    for (int i = 0; i < 30; i++) {
      waits(request("a", "hot", Set.of()));
      if (i < 3) {
        waits(request("a", "w" + i, Set.of()));
      }
      fixture.advance(Duration.ofMillis(i < 20 ? 0 : 21));
    }
    SlotAnswer.Refused refused =
        assertInstanceOf(
            SlotAnswer.Refused.class, fixture.ask(request("a", "hot", Set.of())).get(0));
    assertEquals(RefusalCause.QUEUE_SHARE, refused.reason().cause());
    SlotRequest started = request("a", "hot", Set.of(EndpointIncarnation.ofUnknownStart("gone")));
    assertInstanceOf(SlotAnswer.Waiting.class, fixture.ask(started).get(0));
  }

  private void waits(SlotRequest request) {
    fixture.ask(request);
  }

  private SlotRequest request(String dataCentre, String workspace, Set<EndpointIncarnation> seen) {
    return SlotRequest.builder(new SlotKey(dataCentre, ++numbers), CoordinatorFixture.SERVICE)
        .dataCentre(dataCentre)
        .maxWait(Duration.ofSeconds(60))
        .fingerprint(numbers)
        .excluded(seen)
        .workspace(new WorkspaceId(workspace))
        .charged(true)
        .build();
  }
}
