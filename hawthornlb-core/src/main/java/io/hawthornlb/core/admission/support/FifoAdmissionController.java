package io.hawthornlb.core.admission.support;

import io.hawthornlb.core.admission.AdmissionController;
import io.hawthornlb.core.admission.AdmissionDecision;
import io.hawthornlb.core.admission.AdmissionRequest;
import io.hawthornlb.core.admission.StartRequest;
import io.hawthornlb.core.catalogue.Catalogue;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Simple controller with one queue in order of arrival and one limit on requests in progress.
 *
 * <p>It is the reference implementation in differential tests and the baseline of measurements.
 */
public final class FifoAdmissionController implements AdmissionController {

  private final int limit;
  private final Deque<RequestId> queue = new ArrayDeque<>();
  private final Set<RequestId> running = new HashSet<>();

  /** Creates a controller that runs at most {@code limit} requests at once. */
  public FifoAdmissionController(int limit) {
    this.limit = limit;
  }

  @Override
  public void onCatalogue(Catalogue catalogue) {}

  @Override
  public void onCapacity(ServiceName service, int slots, Instant now) {}

  @Override
  public AdmissionDecision offer(AdmissionRequest request, Instant now) {
    if (running.size() < limit) {
      running.add(request.id());
      return new AdmissionDecision.Admitted();
    }
    queue.add(request.id());
    return new AdmissionDecision.Queued();
  }

  @Override
  public List<Effect> onFinished(RequestId id, Instant now) {
    if (!running.remove(id)) {
      queue.remove(id);
    }
    return startNext();
  }

  @Override
  public List<Effect> onTick(Instant now) {
    return startNext();
  }

  @Override
  public int waiting() {
    return queue.size();
  }

  private List<Effect> startNext() {
    List<Effect> effects = new ArrayList<>();
    while (running.size() < limit && !queue.isEmpty()) {
      RequestId id = queue.poll();
      running.add(id);
      effects.add(new StartRequest(id));
    }
    return effects;
  }
}
