package io.hawthornlb.core.suspect;

import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import java.time.Duration;

/** What may be done with a request. */
public sealed interface Verdict {

  /** It runs like any other. */
  record Clear() implements Verdict {}

  /**
   * It runs alone at this endpoint, which takes nothing else meanwhile.
   *
   * @param endpoint the endpoint
   */
  record Alone(EndpointId endpoint) implements Verdict {}

  /**
   * Another suspect runs there; try again after a time.
   *
   * @param delay how long
   */
  record Wait(Duration delay) implements Verdict {}

  /**
   * It gets its final answer now.
   *
   * @param refusal the answer
   */
  record Refused(Refusal refusal) implements Verdict {}
}
