package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.chart.UnexpectedEventException;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.suspect.Fingerprint;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class ActiveRequestTest {

  private static final EndpointId FIRST = new EndpointId("e-1");
  private static final EndpointId SECOND = new EndpointId("e-2");

  private final ActiveRequest request = new ActiveRequest(onlineRequest(), Instant.EPOCH);

  private static OnlineRequest onlineRequest() {
    return new OnlineRequest(
        new RequestId("r"),
        new WorkspaceEntry(new WorkspaceId("w"), "o", List.of(), Limits.DEFAULT, 1),
        ServiceEntry.builder(new ServiceName("s"), "o", ServiceKind.ENGINE).build(),
        new Fingerprint(7),
        true,
        1,
        1,
        List.of(),
        Instant.EPOCH);
  }

  @Test
  void followsAttemptsThroughTheChart() {
    request.startedAt(FIRST, false);
    assertEquals(FIRST, request.endpoint());
    request.failedAt(FIRST, false);
    assertNull(request.endpoint());
    request.startedAt(SECOND, false);
    request.leftEndpoint();

    assertEquals(2, request.attempts());
    assertNull(request.endpoint());
    request.ended();
  }

  // A caller goes away while its endpoint fails: the cancellation and the failure arrive one after
  // the other. The late failure must not count against the request or start it again.
  @Test
  void lateFailuresChangeNothing() {
    request.startedAt(FIRST, false);
    request.leftEndpoint();
    request.failedAt(FIRST, true);
    request.ended();
    request.ended();

    assertEquals(1, request.attempts());
    assertThrows(UnexpectedEventException.class, () -> request.startedAt(SECOND, false));
  }

  // The first attempt broke after the endpoint had the request, the second found no endpoint and
  // says "not run" of itself. Said to the caller that would be false.
  @Test
  void refusalsAreTrueOfAllAttempts() {
    request.startedAt(FIRST, false);
    request.failedAt(FIRST, true);

    Refusal refusal = request.truthful(Refusal.notRun(RefusalReason.NO_ENDPOINT, "none"));

    assertEquals(RunStatus.MAY_HAVE_RUN, refusal.run());
  }
}
