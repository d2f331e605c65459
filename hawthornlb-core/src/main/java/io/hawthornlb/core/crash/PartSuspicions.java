package io.hawthornlb.core.crash;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests must not reach endpoints because a part of their prompts crashes them.
 *
 * <p>Answers the load in which requests that share one part, and nothing else, come at any
 * instance, each crashes the endpoint that begins to write its answer, and sound requests share all
 * other parts with them. Confined to one thread.
 */
public interface PartSuspicions {

  /**
   * Records a crash. Parts on which an answer has begun here a short time ago are not suspected.
   */
  void crashed(EndpointCrash crash, Instant now);

  /**
   * Records that an answer has begun, which clears all parts of its request.
   *
   * @return parts that had been suspected, with what spoke against them
   */
  Map<String, PartEvidence> began(PromptParts parts, Instant now);

  /**
   * Decides about a request that has yet to wait for its endpoint.
   *
   * @param schedule when the request may be a probe
   * @return why the request need not wait, as it will not be sent; empty if it may be
   */
  Optional<CrashBlock> check(PromptParts parts, ProbeSchedule schedule, Instant now);

  /**
   * Decides about a request that is about to be sent to an endpoint. A probe that is due is used up
   * by the first request that is admitted.
   *
   * @param schedule when the request may be a probe
   */
  Admission admit(PromptParts parts, ProbeSchedule schedule, Instant now);

  /**
   * Records that a probe of some parts reached no endpoint. It was not made, and another request
   * with a part may be the probe at once.
   */
  void unsent(Set<String> probed);

  /**
   * Adds what another instance knows of a part.
   *
   * @return whether more is known than before
   */
  boolean merge(String part, PartEvidence evidence, Instant now);

  /** Forgets what speaks against a part, because an answer has begun on it elsewhere. */
  void clear(String part);

  /** Returns whether something speaks against any part; where not, all requests are admitted. */
  boolean any();

  /** Returns what speaks against a part; empty if nothing does. */
  Optional<PartEvidence> evidence(String part);

  /** Returns the parts against which something speaks, with the evidence. */
  Map<String, PartEvidence> suspected();

  /**
   * Returns the parts whose evidence this instance itself has added to since the last call, by a
   * crash, a probe or a refused request.
   */
  Set<String> takeChanges();

  /**
   * Forgets parts that were not seen for a long time.
   *
   * @return parts that were forgotten
   */
  Set<String> expire(Instant now);
}
