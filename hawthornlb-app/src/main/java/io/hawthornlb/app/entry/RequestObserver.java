package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import java.time.Duration;

/** Observes the progress of online requests. Called on the decision loop. */
public interface RequestObserver {

  /** Called when a request is sent to an endpoint. */
  void sent(OnlineRequest request, EndpointId endpoint);

  /** Called with the time from the offer to the first token or to the complete answer. */
  void firstAnswer(OnlineRequest request, Duration elapsed);

  /** Called with the time from the offer to the end of a complete answer. */
  void succeeded(OnlineRequest request, Duration elapsed);

  /** Called when a request is refused. */
  void refused(OnlineRequest request, Refusal refusal);

  /** Called when a request has ended, for any reason. */
  void finished(OnlineRequest request);
}
