package io.hawthornlb.core.admission;

import static io.hawthornlb.core.admission.AdmissionFixture.REPORTS;
import static io.hawthornlb.core.admission.AdmissionFixture.SHEETS;
import static io.hawthornlb.core.admission.AdmissionFixture.START;
import static io.hawthornlb.core.admission.AdmissionFixture.alone;
import static io.hawthornlb.core.admission.AdmissionFixture.request;
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

  // The office screens stand still while a buyer's reports wait for engines: both services share
  // one queue, the reports are at its head, and the sheet lookups wait behind them.
  @Test
  void aFullServiceDoesNotHoldUpAnother() {
    assertFalse(sheetStartsBehindReports(new FifoAdmissionController(2)), "the naive twin");
    assertTrue(sheetStartsBehindReports(alone(2)));
  }

  // A store hand waits for seconds although engines are free: a buyer's desk is at its limit of
  // requests in progress, its next one is at the head of the queue, and all others wait behind.
  @Test
  void aWorkspaceAtItsLimitDoesNotHoldUpAnother() {
    AdmissionController controller = alone(10);
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

  // A quick check takes a minute: a desk has sent a hundred reports, all wait in order of arrival,
  // and the store hand's check is the last of them.
  @Test
  void anInteractiveRequestGoesBeforeBulkOnes() {
    AdmissionController naive = new FifoAdmissionController(1);
    AdmissionController guarded = alone(1);
    for (AdmissionController controller : new AdmissionController[] {naive, guarded}) {
      for (int i = 0; i < 100; i++) {
        controller.offer(request("b-" + i, REPORTS, "desk", RequestClass.BULK, 600), START);
      }
      controller.offer(request("hand", REPORTS, "floor", RequestClass.INTERACTIVE, 60), START);
    }
    RequestId first = new RequestId("b-0");
    assertEquals("b-1", started(naive.onFinished(first, START)).get(0));
    assertEquals("hand", started(guarded.onFinished(first, START)).get(0));
  }

  // A caller within its limit is refused: each tick cut its unused tokens down to one, so that
  // two requests in the same 50 ms were one too many. Found by the steady scenario.
  @Test
  void ticksTakeNothingFromTheRateOfAWorkspace() {
    AdmissionController controller = alone(1_000);
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

  // A coordinator gets an answer only after half a minute, and it is a refusal: the request could
  // not be done in time from the start, but was held until its deadline passed.
  @Test
  void aHopelessRequestIsRefusedAtOnceWithATimeToComeBack() {
    AdmissionController controller = alone(1);
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
