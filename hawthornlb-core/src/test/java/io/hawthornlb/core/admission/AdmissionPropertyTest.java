package io.hawthornlb.core.admission;

import static io.hawthornlb.core.admission.AdmissionFixture.REPORTS;
import static io.hawthornlb.core.admission.AdmissionFixture.SHEETS;
import static io.hawthornlb.core.admission.AdmissionFixture.START;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.WorkspaceId;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class AdmissionPropertyTest {

  private static final int SLOTS = 3;

  // Guards against a request that waits forever and keeps its slot occupied: a new request arrives
  // while others wait and slots are free, the controller starts the waiting requests while it
  // decides on the new one, and the effects that start them are lost. Then engines are idle while
  // requests wait, for example for 17 s during a burst.
  @Property(tries = 200, seed = "20261202")
  void everyRequestIsStartedOrRefusedOnce(@ForAll long seed) {
    Random random = new Random(seed);
    AdmissionController controller = AdmissionFixture.singleEntry(SLOTS);
    Set<RequestId> waiting = new HashSet<>();
    Set<RequestId> running = new HashSet<>();
    Instant now = START;
    for (int i = 0; i < 300; i++) {
      now = now.plusMillis(random.nextInt(200));
      int action = random.nextInt(4);
      if (action < 2) {
        offer(controller, "r-" + i, random, now, waiting, running);
      } else if (action == 2 && !running.isEmpty()) {
        RequestId ended = running.iterator().next();
        running.remove(ended);
        apply(controller.onFinished(ended, now), waiting, running);
      } else {
        apply(controller.onTick(now), waiting, running);
      }
      assertTrue(running.size() <= 2 * SLOTS, "more in progress than slots of both services");
      assertEquals(waiting.size(), controller.waiting());
    }
    drain(controller, waiting, running, now);
  }

  private static void drain(
      AdmissionController controller, Set<RequestId> waiting, Set<RequestId> running, Instant at) {
    Instant now = at;
    while (!running.isEmpty() || !waiting.isEmpty()) {
      now = now.plusMillis(100);
      for (RequestId id : List.copyOf(running)) {
        running.remove(id);
        apply(controller.onFinished(id, now), waiting, running);
      }
      apply(controller.onTick(now), waiting, running);
      assertTrue(now.isBefore(at.plusSeconds(600)), "requests wait forever");
    }
  }

  private static void offer(
      AdmissionController controller,
      String id,
      Random random,
      Instant now,
      Set<RequestId> waiting,
      Set<RequestId> running) {
    RequestClass requestClass = random.nextBoolean() ? RequestClass.INTERACTIVE : RequestClass.BULK;
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId(id),
            random.nextBoolean() ? REPORTS : SHEETS,
            new WorkspaceId("w-" + random.nextInt(3)),
            requestClass,
            now.plusSeconds(random.nextInt(30)));
    AdmissionDecision decision = controller.offer(request, now);
    if (decision instanceof AdmissionDecision.Admitted) {
      running.add(request.id());
    } else if (decision instanceof AdmissionDecision.Queued) {
      waiting.add(request.id());
    }
  }

  private static void apply(List<Effect> effects, Set<RequestId> waiting, Set<RequestId> running) {
    for (Effect effect : effects) {
      if (effect instanceof StartRequest start) {
        assertTrue(waiting.remove(start.id()), "started a request that did not wait");
        running.add(start.id());
      } else if (effect instanceof RefuseRequest refuse) {
        assertTrue(waiting.remove(refuse.id()), "refused a request that did not wait");
      }
    }
  }
}
