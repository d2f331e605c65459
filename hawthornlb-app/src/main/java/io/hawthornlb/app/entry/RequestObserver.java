package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import java.time.Duration;

/** Hears what becomes of online requests; called on the decision loop. */
public interface RequestObserver {

  /** Takes a request that goes to an endpoint. */
  void sent(OnlineRequest request, EndpointId endpoint);

  /** Takes the time from the offer to the first token or the whole answer. */
  void firstAnswer(OnlineRequest request, Duration elapsed);

  /** Takes the time from the offer to the end of an answer that arrived whole. */
  void succeeded(OnlineRequest request, Duration elapsed);

  /** Takes a refusal. */
  void refused(OnlineRequest request, Refusal refusal);

  /** Takes the end of a request, however it ended. */
  void finished(OnlineRequest request);
}
