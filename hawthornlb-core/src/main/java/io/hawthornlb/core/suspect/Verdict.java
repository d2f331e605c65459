package io.hawthornlb.core.suspect;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import java.time.Duration;

/** How a request may run. */
public sealed interface Verdict {

  /** The request runs like any other. */
  record Clear() implements Verdict {}

  /**
   * The request runs alone at an endpoint, which accepts no other request meanwhile.
   *
   * @param endpoint the endpoint
   */
  record Alone(EndpointId endpoint) implements Verdict {}

  /**
   * The request must wait, since no endpoint accepts work, the endpoint selected for it is in
   * quarantine, or the same request already runs alone.
   *
   * @param delay the delay after which to ask again
   */
  record Wait(Duration delay) implements Verdict {}

  /**
   * The request is refused.
   *
   * @param refusal the final answer
   */
  record Refused(Refusal refusal) implements Verdict {}
}
