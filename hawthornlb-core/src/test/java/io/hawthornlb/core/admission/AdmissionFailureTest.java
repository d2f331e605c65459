package io.hawthornlb.core.admission;

import static io.hawthornlb.core.admission.AdmissionFixture.REPORTS;
import static io.hawthornlb.core.admission.AdmissionFixture.SHEETS;
import static io.hawthornlb.core.admission.AdmissionFixture.START;
import static io.hawthornlb.core.admission.AdmissionFixture.request;
import static io.hawthornlb.core.admission.AdmissionFixture.singleEntry;
import static io.hawthornlb.core.admission.AdmissionFixture.started;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.admission.support.FifoAdmissionController;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.RunStatus;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class AdmissionFailureTest {

  // Guards against a full service that delays another one: both services share one queue, the
  // requests of the full service are at its head, and the requests of the other service wait
  // behind them.
  @Test
  void aFullServiceDoesNotDelayAnother() {
    assertFalse(sheetStartsBehindReports(new FifoAdmissionController(2)), "the baseline");
    assertTrue(sheetStartsBehindReports(singleEntry(2)));
  }

  // Guards against a workspace at its limit that delays others although engines are free: a
  // workspace has reached its limit of requests in progress, its next request is at the head of
  // the queue, and the requests of all other workspaces wait behind it.
  @Test
  void aWorkspaceAtItsLimitDoesNotDelayOthers() {
    AdmissionController controller = singleEntry(10);
    controller.onCatalogue(AdmissionFixture.workspace("desk", new Limits(1_000, 2, 1)));
    for (int i = 0; i < 5; i++) {
      controller.offer(request("d-" + i, REPORTS, "desk", RequestClass.INTERACTIVE, 60), START);
    }
    AdmissionDecision decision =
        controller.offer(request("hand", REPORTS, "floor", RequestClass.INTERACTIVE, 60), START);
    assertInstanceOf(AdmissionDecision.Admitted.class, decision);
    assertEquals(3, controller.waiting());
    assertEquals(1, started(controller.onFinished(new RequestId("d-0"), START)).size());
  }

  // Guards against an interactive request that waits a minute: a workspace has sent a hundred bulk
  // requests, all requests wait in order of arrival, and the interactive request is the last of
  // them.
  @Test
  void anInteractiveRequestGoesBeforeBulkOnes() {
    AdmissionController fifo = new FifoAdmissionController(1);
    AdmissionController fair = singleEntry(1);
    for (AdmissionController controller : new AdmissionController[] {fifo, fair}) {
      for (int i = 0; i < 100; i++) {
        controller.offer(request("b-" + i, REPORTS, "desk", RequestClass.BULK, 600), START);
      }
      controller.offer(request("hand", REPORTS, "floor", RequestClass.INTERACTIVE, 60), START);
    }
    RequestId first = new RequestId("b-0");
    assertEquals("b-1", started(fifo.onFinished(first, START)).get(0));
    assertEquals("hand", started(fair.onFinished(first, START)).get(0));
  }

  // Guards against refusing a caller within its rate limit: if each tick cut the unused tokens of
  // a workspace down to one, the second of two requests in the same 50 ms would be refused.
  @Test
  void ticksTakeNoTokensFromAWorkspace() {
    AdmissionController controller = singleEntry(1_000);
    Instant now = START;
    for (int i = 0; i < 200; i++) {
      now = now.plusMillis(50);
      controller.onTick(now);
      for (int j = 0; j < 3; j++) {
        AdmissionDecision decision =
            controller.offer(
                new AdmissionRequest(
                    new RequestId(i + "-" + j),
                    SHEETS,
                    new WorkspaceId("office"),
                    RequestClass.INTERACTIVE,
                    now.plusSeconds(30)),
                now);
        assertFalse(decision instanceof AdmissionDecision.Refused, () -> "refused: " + decision);
      }
    }
  }

  // Guards against a refusal that a caller gets only after half a minute: the request could not
  // meet its deadline from the start, but was held until the deadline passed.
  @Test
  void aRequestThatWouldMissItsDeadlineIsRefusedAtOnceWithARetryTime() {
    AdmissionController controller = singleEntry(1);
    Instant now = START;
    for (int i = 0; i < 5; i++) {
      controller.offer(request("r-" + i, REPORTS, "floor", RequestClass.INTERACTIVE, 60), now);
      now = now.plusSeconds(2);
      controller.onFinished(new RequestId("r-" + i), now);
    }
    for (int i = 0; i < 10; i++) {
      controller.offer(request("w-" + i, REPORTS, "floor", RequestClass.INTERACTIVE, 60), now);
    }
    AdmissionDecision decision =
        controller.offer(request("late", REPORTS, "floor", RequestClass.INTERACTIVE, 15), now);
    Refusal refusal = assertInstanceOf(AdmissionDecision.Refused.class, decision).refusal();
    assertEquals(RefusalReason.DEADLINE_UNREACHABLE, refusal.reason());
    assertEquals(RunStatus.NOT_RUN, refusal.run());
    assertTrue(refusal.retryAfter().orElseThrow().compareTo(Duration.ofSeconds(5)) > 0);
  }

  private static boolean sheetStartsBehindReports(AdmissionController controller) {
    for (int i = 0; i < 10; i++) {
      controller.offer(request("r-" + i, REPORTS, "buyer", RequestClass.BULK, 600), START);
    }
    AdmissionDecision decision =
        controller.offer(request("s", SHEETS, "office", RequestClass.INTERACTIVE, 5), START);
    return decision instanceof AdmissionDecision.Admitted;
  }
}
