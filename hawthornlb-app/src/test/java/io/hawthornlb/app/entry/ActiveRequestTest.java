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
  void tracksAttemptsAndTheirEndpoints() {
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

  // The caller disconnects while the endpoint fails, so that a cancellation and then a failure are
  // reported. The late failure must neither count as an attempt nor restart the request.
  @Test
  void ignoresFailureAfterCancellation() {
    request.startedAt(FIRST, false);
    request.leftEndpoint();
    request.failedAt(FIRST, true);
    request.ended();
    request.ended();

    assertEquals(1, request.attempts());
    assertThrows(UnexpectedEventException.class, () -> request.startedAt(SECOND, false));
  }

  // The first attempt fails after the endpoint has received the request, and the second finds no
  // endpoint and is refused with "not run". That status would be wrong for the request as a whole.
  @Test
  void refusalCoversAllAttempts() {
    request.startedAt(FIRST, false);
    request.failedAt(FIRST, true);

    Refusal refusal = request.forAllAttempts(Refusal.notRun(RefusalReason.NO_ENDPOINT, "none"));

    assertEquals(RunStatus.MAY_HAVE_RUN, refusal.run());
  }
}
